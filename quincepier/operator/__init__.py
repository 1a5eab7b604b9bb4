"""The operators' file: YAML, read whole or not at all, each subsystem a section of its own.

It decides whether a file can be used and tells all that is wrong with it, each with line and dotted key. It
never acts on what a section says and imports a section's package only where the file has that section. Read
`schema.py` first.
"""

from quincepier.operator.reading import OperatorError, OperatorFile, load, read
from quincepier.operator.schema import SECTIONS, LogSection

__all__ = ["SECTIONS", "LogSection", "OperatorError", "OperatorFile", "load", "read"]
