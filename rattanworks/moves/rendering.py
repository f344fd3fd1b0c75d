"""Renders services and moves for operators, one line each."""

import datetime

from rattanworks.model.service import MoveStatus

TEXT_BY_STATUS = {
    MoveStatus.RUNNING: "running",
    MoveStatus.TAKEN_BACK: "taken back",
    MoveStatus.DONE: "done",
}


def format_time(seconds):
    """Return a time since the Unix epoch as ISO 8601 text in UTC."""
    time = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    return time.isoformat(timespec="seconds")


def render_service(state, now):
    """Return a ServiceState as one line; ``now`` in seconds since the epoch."""
    line = f"service {state.service}: served by {state.serving_version}"
    return line if state.move is None else f"{line}; {_render_move(state.move, now)}"


def _render_move(move, now):
    status_text = TEXT_BY_STATUS[move.status]
    parts = [f"move {move.from_version} -> {move.to_version} {status_text}"]
    if move.status == MoveStatus.RUNNING:
        parts += [
            f"stage {move.stage + 1}",
            f"share {move.share:.0%}",
            _time_left(move.finish_by - now),
            f"holder {move.holder or 'none yet'}",
        ]
    else:
        parts.append(f"ended {format_time(move.ended_at)}")
    if move.reason:
        parts.append(move.reason)
    return ", ".join(parts)


def _time_left(seconds):
    if seconds < 0:
        return f"{-seconds:.0f} s past its finish time"
    return f"{seconds:.0f} s left"


def render_record(record):
    """Return a MoveRecord of the audit trail as one line of key=value pairs."""
    move = record.move
    ended = format_time(move.ended_at) if move.ended_at else "-"
    return (
        f"move={record.service}/{record.generation} from={move.from_version} "
        f"to={move.to_version} at={format_time(move.started_at)} author={move.author} "
        f"status={move.status.name.lower()} ended={ended} "
        f"operation={move.operation_id} reason={move.reason!r}"
    )
