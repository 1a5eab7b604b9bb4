"""quincepier, a request router in front of tiers of caches with one origin."""

__version__ = "0.3.0"
