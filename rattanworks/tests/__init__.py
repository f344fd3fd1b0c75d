"""Tests, mirroring the package."""

from hypothesis import settings

# A busy host makes any example slow now and then; none of the checks is on time.
settings.register_profile("untimed", deadline=None)
settings.load_profile("untimed")
