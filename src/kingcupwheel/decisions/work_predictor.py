"""Predicts the work of a request in tokens before it runs."""

from __future__ import annotations

from collections import OrderedDict


# Bounds memory, which would otherwise grow with the number of names that callers use.
# There are 43,000 organisations on a few routes each, of which one entry sees some
# hundreds in an hour; the limit is one history per organisation and half as many again
# for those that use two routes. Evicting the least recently used history costs one
# prediction from its route's mean.
DEFAULT_MAX_HISTORIES = 65_536

# Used without any history: English text has about 4 bytes per token, and the mean
# answer at the target load is 860,000 / 3,200 = 270 tokens.
DEFAULT_BYTES_PER_TOKEN = 4.0
DEFAULT_ANSWER_TOKENS = 270.0

# Window of the running means in answers: they follow a change of usage within tens of
# requests, and one outlier moves them by a thirtieth.
HISTORY_WINDOW_ANSWERS = 30

# Weight of the route's mean, in answers, next to an organisation's own answers: the
# first few say little about its mean, since lengths vary widely.
PRIOR_WEIGHT_ANSWERS = 4


class _History:
    """Running means of one organisation on one route, or of a whole route."""

    __slots__ = ("answer_tokens", "answer_count", "bytes_per_token")

    def __init__(self) -> None:
        self.answer_count = 0
        self.answer_tokens = 0.0
        self.bytes_per_token = 0.0

    def update(self, prompt_tokens: int, answer_tokens: int, body_bytes: int) -> None:
        self.answer_count = min(self.answer_count + 1, HISTORY_WINDOW_ANSWERS)
        self.answer_tokens += (answer_tokens - self.answer_tokens) / self.answer_count
        if prompt_tokens > 0 and body_bytes > 0:
            observed = body_bytes / prompt_tokens
            gain = 1.0 if self.bytes_per_token == 0.0 else 1.0 / HISTORY_WINDOW_ANSWERS
            self.bytes_per_token += (observed - self.bytes_per_token) * gain


class WorkPredictor:
    """Predicts work from the size of the body and the lengths of earlier answers.

    Bodies have some kilobytes, answers between ten and some thousand tokens. If
    requests were counted instead of work, an organisation with long answers could take
    many times its share. At most ``max_histories`` pairs of organisation and route are
    kept, and as many routes; the least recently used are evicted.
    """

    def __init__(self, *, max_histories: int = DEFAULT_MAX_HISTORIES) -> None:
        self._max_histories = max_histories
        self._history_by_key: OrderedDict[tuple[str, str], _History] = OrderedDict()
        self._history_by_route: OrderedDict[str, _History] = OrderedDict()

    def __len__(self) -> int:
        return len(self._history_by_key)

    def predict(
        self, organisation: str, route: str, body_bytes: int, max_tokens: int | None
    ) -> float:
        """Return the expected prompt and answer tokens together, at least 1.

        ``max_tokens`` is the caller's limit on the answer, an upper bound.
        """
        route_history = self._history_by_route.get(route)
        own_history = self._history_by_key.get((organisation, route))
        answer = self._answer_tokens(own_history, route_history)
        if max_tokens is not None:
            answer = min(answer, float(max_tokens))
        return max(
            1.0, body_bytes / self._bytes_per_token(own_history, route_history) + answer
        )

    def record_answer(
        self,
        organisation: str,
        route: str,
        prompt_tokens: int,
        answer_tokens: int,
        *,
        body_bytes: int = 0,
    ) -> None:
        """Add a finished answer to the history.

        ``prompt_tokens`` is 0 if the server does not report it, ``body_bytes`` is 0 if
        the size of the request's body is no longer known.
        """
        key = (organisation, route)
        own_history = self._history_by_key.setdefault(key, _History())
        self._history_by_key.move_to_end(key)
        route_history = self._history_by_route.setdefault(route, _History())
        self._history_by_route.move_to_end(route)
        for history in (own_history, route_history):
            history.update(prompt_tokens, answer_tokens, body_bytes)
        while len(self._history_by_key) > self._max_histories:
            self._history_by_key.popitem(last=False)
        while len(self._history_by_route) > self._max_histories:
            self._history_by_route.popitem(last=False)

    @staticmethod
    def _answer_tokens(
        own_history: _History | None, route_history: _History | None
    ) -> float:
        prior = (
            route_history.answer_tokens
            if route_history is not None
            else DEFAULT_ANSWER_TOKENS
        )
        if own_history is None:
            return prior
        weighed = (
            own_history.answer_tokens * own_history.answer_count
            + prior * PRIOR_WEIGHT_ANSWERS
        )
        return weighed / (own_history.answer_count + PRIOR_WEIGHT_ANSWERS)

    @staticmethod
    def _bytes_per_token(
        own_history: _History | None, route_history: _History | None
    ) -> float:
        for history in (own_history, route_history):
            if history is not None and history.bytes_per_token > 0.0:
                return history.bytes_per_token
        return DEFAULT_BYTES_PER_TOKEN
