"""Decides where a broken stream goes on: on its engine, or on which other one."""

# Consecutive resumptions without a new token after which another engine is tried.
MAX_STALLED_RESUMPTIONS = 2


class StreamBreaks:
    """The breaks of one stream since its last new token."""

    __slots__ = ("_token_count", "_stall_count", "_failed_engine_ids")

    def __init__(self):
        self._token_count = -1
        self._stall_count = 0
        self._failed_engine_ids = set()

    def should_resume(self, token_count):
        """Return whether the engine made progress since the last break.

        `token_count` is the number of tokens delivered.
        """
        if token_count > self._token_count:
            self._record_progress(token_count)
        else:
            self._stall_count += 1
        return self._stall_count < MAX_STALLED_RESUMPTIONS

    def other_engines(self, engine_ids, failed_id, token_count):
        """Return which of `engine_ids` to try after the engine `failed_id` failed.

        It comes last itself, but only once: an engine that has failed without a new
        token since is left out.
        """
        if token_count > self._token_count:
            self._record_progress(token_count)
        failed_ids = self._failed_engine_ids
        ids = [id_ for id_ in engine_ids if id_ not in {failed_id, *failed_ids}]
        if failed_id not in failed_ids:
            failed_ids.add(failed_id)
            ids.append(failed_id)
        return ids

    def _record_progress(self, token_count):
        self._token_count = token_count
        self._stall_count = 0
        self._failed_engine_ids.clear()
