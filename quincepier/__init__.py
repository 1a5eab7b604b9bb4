"""quincepier, a request router before tiers of caches with one origin."""

__version__ = "0.3.0"
