"""What three to seven voters agree on: a log of opaque entries, of which the newest committed one counts.

It decides who leads, what is committed and who votes (Raft: Ongaro and Ousterhout 2014; Ongaro's thesis). It
never sends, stores, looks at a clock or at what an entry says. Read `voter.py` first, then `mind.py`;
docs/agreement.md.
"""

from quincepier.consensus.errors import ConsensusError
from quincepier.consensus.mind import Action, Committed, Role, Send, Store
from quincepier.consensus.pace import Pace
from quincepier.consensus.voter import Voter

__all__ = ["Action", "Committed", "ConsensusError", "Pace", "Role", "Send", "Store", "Voter"]
