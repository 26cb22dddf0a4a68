from __future__ import annotations

from kingcupwheel.decisions.work_predictor import WorkPredictor


def test_predictions_follow_each_organisations_own_answers() -> None:
    predictor = WorkPredictor()
    for _ in range(40):
        predictor.record_answer("short", "/v1", 100, 20, body_bytes=300)
        predictor.record_answer("long", "/v1", 100, 1500, body_bytes=300)

    assert predictor.predict("short", "/v1", 300, None) < 300
    assert predictor.predict("long", "/v1", 300, None) > 1300
    assert 300 < predictor.predict("new", "/v1", 300, None) < 1500
    assert predictor.predict("long", "/v1", 300, 10) < 130


def test_histories_are_bounded_and_the_least_recently_used_is_evicted() -> None:
    predictor = WorkPredictor(max_histories=3)
    for number in range(5):
        predictor.record_answer(f"organisation-{number}", "/v1", 0, 1000 * number)

    assert len(predictor) == 3
    newest = predictor.predict("organisation-4", "/v1", 0, None)
    assert newest > predictor.predict("organisation-0", "/v1", 0, None)
