"""What a table of claims on idempotency keys must be able to do."""

import abc


class ClaimTable(abc.ABC):
    """Claims that every node sees alike."""

    @abc.abstractmethod
    def claim(self, claim, timeout):
        """Return the claim in force on the key: this one, or an earlier one.

        Raise StoreError when it could not be settled within ``timeout`` seconds;
        the claim is then withdrawn sooner or later.
        """

    @abc.abstractmethod
    def complete(self, claim, timeout):
        """Record how a claimed call ended; tell whether that is known to be stored.

        A write that fails is repeated after the return.
        """

    @abc.abstractmethod
    def release(self, claim, timeout):
        """Give up a claim whose call provably did not run, as ``complete`` does."""
