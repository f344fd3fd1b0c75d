"""Steps of background tasks, which must survive unexpected errors."""

import traceback

from rattanworks.utils.logging import log_event


def run_guarded(task, step):
    """Run one step of a task; log an unexpected error instead of ending the task.

    Return whether the step ended without one.
    """
    try:
        step()
    except Exception as error:
        log_event(
            "task-step-failed",
            task=task,
            reason=repr(error),
            where=traceback.format_exc(limit=-3),
        )
        return False
    return True
