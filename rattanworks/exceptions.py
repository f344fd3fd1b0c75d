"""Typed errors; every message names the remedy."""

EXIT_REFUSED = 1
EXIT_INVALID = 2


class RattanworksError(Exception):
    """Base of all errors that the command line turns into a clean message."""

    exit_status = EXIT_REFUSED


class InvalidInputError(RattanworksError):
    """One fault in a file that an operator wrote."""

    exit_status = EXIT_INVALID

    def __init__(self, file, key, expected, found, remedy):
        self.file = file
        self.key = key
        self.expected = expected
        self.found = found
        self.remedy = remedy
        where = f"{file}: {key}" if key else f"{file}"
        super().__init__(f"{where}: expected {expected}, found {found}; {remedy}")


class InvalidInputGroup(ExceptionGroup):
    """All faults of one check, reported together."""

    exit_status = EXIT_INVALID

    def derive(self, excs):
        """Return a group of the same kind with other members."""
        return InvalidInputGroup(self.message, excs)


class UsageError(RattanworksError):
    """A command was called with arguments that cannot be used together."""

    exit_status = EXIT_INVALID


class ConflictError(RattanworksError):
    """The configuration was changed by someone else in the meantime."""


class MergeConflictError(ConflictError):
    """Two edits changed the same entries in different ways."""

    def __init__(self, conflicts):
        self.conflicts = tuple(conflicts)
        super().__init__(
            f"the edits clash ({'; '.join(self.conflicts)}); settle these entries in "
            "your files, see `rattanworks diff`, then apply on the current version"
        )


class UnknownVersionError(RattanworksError):
    """The requested version was never accepted."""


class MoveRefusedError(RattanworksError):
    """A move to a new version cannot be started or changed."""


class StoreError(RattanworksError):
    """Base of errors of the key-value store."""


class StoreUnavailableError(StoreError):
    """The store did not accept the request, which had no effect."""


class ContentCollectedError(StoreUnavailableError):
    """The content of an old version was deleted; its manifest is still stored."""


class StoreConflictError(StoreError):
    """A compare-and-swap failed: the record is at another revision."""

    def __init__(self, key, expected, actual):
        self.key = key
        self.expected = expected
        self.actual = actual
        super().__init__(
            f"store key {key} is at revision {actual}, expected {expected}; "
            "read it again and repeat the change"
        )


class StoreRestoredError(StoreConflictError):
    """The store returned from an older copy after the record was read."""

    def __init__(self, key, expected):
        super().__init__(key, expected, 0)
        self.args = (
            f"the store returned from an older copy after {key} was read at revision "
            f"{expected}; read it again and repeat the change",
        )


class StoreAnswerLostError(StoreError):
    """A write was sent but no answer came; it may have taken effect."""


class StoreRecordError(StoreError):
    """A record in the store cannot be read; another tool may have written it."""


class HistoryLostError(StoreError):
    """The store no longer has the requested changes; read all records again."""


class LeaseLostError(StoreError):
    """The lease has expired or was revoked; acquire it again."""


class PeerUnavailableError(RattanworksError):
    """A peer node did not answer; another peer may."""


class CallNotSentError(RattanworksError):
    """No byte of the call reached the other side: it did not run."""


class CallMisdirectedError(RattanworksError):
    """Another server has the address now; it got the call and did not run it."""


class CallOutcomeUnknownError(RattanworksError):
    """The call was sent, at least in part, and its answer did not come back whole.

    ``status`` is the HTTP status of the answer that the caller gets.
    """

    status = 502


class CallTimedOutError(CallOutcomeUnknownError):
    """The deadline passed while the call may have been running."""

    status = 504


class AnswerTooLargeError(CallOutcomeUnknownError):
    """The answer exceeds the size limit of one answer; it is not read to the end."""


class AnswerBudgetExhaustedError(CallOutcomeUnknownError):
    """The node's budget for large bodies is used up; the answer was not read whole."""


class CallAbandonedError(CallOutcomeUnknownError):
    """The caller no longer waits for the answer."""


class VersionRefusedError(RattanworksError):
    """A configuration version failed verification or validation on this node."""


class BlobUnusableError(VersionRefusedError):
    """A blob is missing or corrupt; another source may have it whole."""
