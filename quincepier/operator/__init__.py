"""The operators' file: YAML with a section for each subsystem; it is accepted as a whole or not at all.

This package validates a file and reports all errors, each with line and dotted key. It does not act on the
settings, and imports a section's package only if the file has that section. `schema.py` lists the sections.
"""

from quincepier.operator.reading import OperatorError, OperatorFile, load, read
from quincepier.operator.schema import SECTIONS, LogSection

__all__ = ["SECTIONS", "LogSection", "OperatorError", "OperatorFile", "load", "read"]
