"""Times at which each version came into force, read from the nodes' logs."""

from dataclasses import dataclass, field

from rattanworks.utils.logging import parse_line

IN_FORCE_MARKER = " event=version-in-force"
READY_MARKER = " event=node-ready"


@dataclass(frozen=True, slots=True)
class VersionInForce:
    """A version that came into force at ``time``, with the digest of its lists."""

    time: float
    version: int
    lists_digest: str


@dataclass(slots=True)
class NodeRun:
    """One process of a node, and what its log shows.

    A node that is restarted has several runs. ``pauses`` holds the (from, to) pairs
    between which the process was suspended. ``ready_version`` is the version with
    which the node became ready, -1 before. Times are in seconds since the Unix epoch.
    """

    name: str
    process: object
    is_alive: bool = True
    ready_at: float = 0.0
    ready_version: int = -1
    in_force: list[VersionInForce] = field(default_factory=list)
    pauses: list[tuple[float, float]] = field(default_factory=list)

    def read_log(self):
        """Set the fields that are read from the log."""
        self.in_force = []
        for line in self.process.log:
            if IN_FORCE_MARKER in line:
                fields = parse_line(line)
                self.in_force.append(
                    VersionInForce(
                        float(fields["time"]), int(fields["version"]), fields["lists"]
                    )
                )
            elif READY_MARKER in line:
                fields = parse_line(line)
                self.ready_at = float(fields["time"])
                self.ready_version = int(fields["version"])

    @property
    def newest_version(self):
        """Return the highest version that was in force, 0 if there was none."""
        return max((event.version for event in self.in_force), default=0)

    def reached_at(self, version):
        """Return when ``version`` or a later one first came into force, or None."""
        times = [event.time for event in self.in_force if event.version >= version]
        return min(times, default=None)

    def seconds_to_reach(self, version, accepted_at):
        """Return the seconds from acceptance until in force, less pauses, or None."""
        reached_at = self.reached_at(version)
        if reached_at is None:
            return None
        paused = sum(
            max(0.0, min(end, reached_at) - max(begin, accepted_at))
            for begin, end in self.pauses
        )
        return max(0.0, reached_at - accepted_at - paused)


@dataclass(frozen=True, slots=True)
class AcceptedVersion:
    """A version that was written to the store, with the digest of its lists."""

    version: int
    accepted_at: float
    lists_digest: str


def count_regressions(runs):
    """Count the times that a node did not advance to a newer version.

    Counted are each version in force that is not newer than the one before it, and
    each restart in which the node became ready with an older version than before.
    """
    regressions = 0
    newest_by_name = {}
    for run in runs:
        versions = [event.version for event in run.in_force]
        regressions += sum(
            later <= earlier
            for earlier, later in zip(versions, versions[1:], strict=False)
        )
        newest_before = newest_by_name.get(run.name, 0)
        if run.ready_version >= 0 and run.ready_version < newest_before:
            regressions += 1
        newest_by_name[run.name] = max(newest_before, run.newest_version)
    return regressions


def count_applied_in_part(runs, accepted_by_version):
    """Count the times that the lists in force differed from those accepted."""
    return sum(
        event.version not in accepted_by_version
        or event.lists_digest != accepted_by_version[event.version].lists_digest
        for run in runs
        for event in run.in_force
    )


def count_never_ready(runs):
    """Count the nodes that are alive and did not become ready."""
    return sum(run.is_alive and run.ready_version < 0 for run in runs)


def measure_convergence(runs, accepted):
    """Return (number of versions in force on every live node, seconds for each).

    The seconds of a version are those of the slowest node among the nodes that were
    ready when it was accepted and lived to the end of the run. A live node that became
    ready later has no part in the seconds, but the version counts as in force only if
    that node has it or a later one too.
    """
    alive = [run for run in runs if run.is_alive and run.ready_version >= 0]
    in_force, seconds = 0, []
    for version in accepted:
        if any(run.newest_version < version.version for run in alive):
            continue
        in_force += 1
        seconds.append(
            max(
                (
                    run.seconds_to_reach(version.version, version.accepted_at)
                    for run in alive
                    if run.ready_at <= version.accepted_at
                ),
                default=0.0,
            )
        )
    return in_force, seconds
