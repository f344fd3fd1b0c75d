"""Interface of a table of claims on idempotency keys."""

import abc


class ClaimTable(abc.ABC):
    """Table of claims, shared by all nodes."""

    @abc.abstractmethod
    def claim(self, claim, timeout):
        """Return the claim in force on the key: this one, or an earlier one.

        Raise StoreError when this is not known within ``timeout`` seconds. The table
        then tries to release the claim, if that may have been stored.
        """

    @abc.abstractmethod
    def complete(self, claim, timeout):
        """Record a claimed call's outcome; return whether it is known to be stored.

        Wait up to ``timeout`` seconds. A failed write is retried after the return.
        """

    @abc.abstractmethod
    def release(self, claim, timeout):
        """Release a claim whose call provably did not run.

        Wait, return and retry as ``complete`` does.
        """
