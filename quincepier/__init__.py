"""quincepier: a request router before tiers of caches with one origin."""
