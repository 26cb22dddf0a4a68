"""Predicts the work of a request, in tokens, before it has run."""

from __future__ import annotations

from collections import OrderedDict


# Load: 43,000 organisations on a few routes each, of which one entry sees some hundreds
# in an hour. Harm prevented: memory that grows with the number of names callers use.
# Reason for the limit: every organisation once, with half as much again for those that
# use two routes; the least recently used history is dropped, which costs one request
# predicted from its route's mean.
DEFAULT_MAX_HISTORIES = 65_536

# Without any history: a body of English text has about four bytes a token, and the
# target's mean answer is 860,000 / 3,200 = 270 tokens.
DEFAULT_BYTES_PER_TOKEN = 4.0
DEFAULT_ANSWER_TOKENS = 270.0

# A history counts as at most so many answers, so that it follows a change of use
# within some tens of requests and one odd answer moves it by a thirtieth.
HISTORY_WINDOW_ANSWERS = 30

# The route's mean counts as so many answers beside an organisation's own: the first
# answers of an organisation say little about its mean, since lengths vary widely.
PRIOR_WEIGHT_ANSWERS = 4


class _History:
    """Running means of one organisation on one route, or of a whole route."""

    __slots__ = ("answer_tokens", "answers", "bytes_per_token")

    def __init__(self) -> None:
        self.answers = 0
        self.answer_tokens = 0.0
        self.bytes_per_token = 0.0

    def update(self, prompt_tokens: int, answer_tokens: int, body_bytes: int) -> None:
        self.answers = min(self.answers + 1, HISTORY_WINDOW_ANSWERS)
        self.answer_tokens += (answer_tokens - self.answer_tokens) / self.answers
        if prompt_tokens > 0 and body_bytes > 0:
            seen = body_bytes / prompt_tokens
            gain = 1.0 if self.bytes_per_token == 0.0 else 1.0 / HISTORY_WINDOW_ANSWERS
            self.bytes_per_token += (seen - self.bytes_per_token) * gain


class WorkPredictor:
    """Predicts from the body's size and the lengths of earlier answers.

    Load: bodies of some kilobytes, answers between ten and some thousand tokens. Harm
    prevented: counting requests instead of work lets an organisation with long answers
    take many times its part. Memory is bounded by ``histories`` organisations and
    routes together, least recently used first out.
    """

    def __init__(self, *, max_histories: int = DEFAULT_MAX_HISTORIES) -> None:
        self._limit = max_histories
        self._by_key: OrderedDict[tuple[str, str], _History] = OrderedDict()
        self._by_route: OrderedDict[str, _History] = OrderedDict()

    def __len__(self) -> int:
        return len(self._by_key)

    def predict(
        self, organisation: str, route: str, body_bytes: int, max_tokens: int | None
    ) -> float:
        """Return prompt plus answer tokens expected; at least 1.

        ``max_tokens`` is the caller's own limit on the answer, which is never exceeded.
        """
        whole = self._by_route.get(route)
        own = self._by_key.get((organisation, route))
        answer = self._answer_tokens(own, whole)
        if max_tokens is not None:
            answer = min(answer, float(max_tokens))
        return max(1.0, body_bytes / self._bytes_per_token(own, whole) + answer)

    def record_answer(
        self,
        organisation: str,
        route: str,
        prompt_tokens: int,
        answer_tokens: int,
        *,
        body_bytes: int = 0,
    ) -> None:
        """Take a finished answer into the history.

        ``prompt_tokens`` is 0 where the server does not tell it; ``body_bytes`` is the
        size of the request's body, 0 if it is not known any more.
        """
        key = (organisation, route)
        own = self._by_key.setdefault(key, _History())
        self._by_key.move_to_end(key)
        whole = self._by_route.setdefault(route, _History())
        self._by_route.move_to_end(route)
        for history in (own, whole):
            history.update(prompt_tokens, answer_tokens, body_bytes)
        while len(self._by_key) > self._limit:
            self._by_key.popitem(last=False)
        while len(self._by_route) > self._limit:
            self._by_route.popitem(last=False)

    @staticmethod
    def _answer_tokens(own: _History | None, whole: _History | None) -> float:
        prior = whole.answer_tokens if whole is not None else DEFAULT_ANSWER_TOKENS
        if own is None:
            return prior
        weighed = own.answer_tokens * own.answers + prior * PRIOR_WEIGHT_ANSWERS
        return weighed / (own.answers + PRIOR_WEIGHT_ANSWERS)

    @staticmethod
    def _bytes_per_token(own: _History | None, whole: _History | None) -> float:
        for history in (own, whole):
            if history is not None and history.bytes_per_token > 0.0:
                return history.bytes_per_token
        return DEFAULT_BYTES_PER_TOKEN
