"""For all tests: no verdict rests on how long an example takes."""

from hypothesis import settings

settings.register_profile("no clock", deadline=None)
settings.load_profile("no clock")
