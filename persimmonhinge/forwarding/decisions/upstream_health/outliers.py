"""Detects upstreams that are worse than the others of their service."""

from __future__ import annotations

from collections.abc import Mapping
import math

from persimmonhinge import ids
from persimmonhinge import records
from persimmonhinge.forwarding.decisions.upstream_health import answer_baseline
from persimmonhinge.forwarding.decisions.upstream_health import quality_counts

# An upstream is slow from this many answers on, if they are this many times
# slower than those of the others.
_MIN_ANSWERS = 3
_MIN_SLOWNESS = answer_baseline.compute_slowness(3.0)
# An upstream is troubled from this many troubled requests on, if they are this
# share of its requests and this multiple of the share of the others.
_MIN_TROUBLES = 3
_MIN_TROUBLED_SHARE = 1 / 3
_MIN_TROUBLED_MULTIPLE = 3.0
# If the others are slower or more troubled than this on average, all upstreams
# are overloaded, and no outlier is found: requests at an upstream then wait in
# the same queue, so that few of them are no independent evidence.
_MAX_USUAL_SLOWNESS = 0.25
_MAX_USUAL_TROUBLED_SHARE = 1 / 4
# An outlier has recovered at this part of the limits above. At the limits
# themselves, an upstream that fails half of its requests would often seem to
# have recovered.
_RECOVERED_PART = 1 / 2
# Natural logarithm of the maximum chance that an upstream like the others has
# such counts. Each host decides up to four times a second for each upstream.
_MIN_EVIDENCE = 8.0
# Share of slow or troubled requests that any upstream is expected to have.
_MIN_EXPECTED_SHARE = 0.02


class Outlier(records.Record, frozen=True):
    """An upstream that is worse than the others.

    Attributes:
        upstream: The upstream.
        evidence: Strength of the evidence; higher for worse upstreams.
        slowness: How many times slower it is than the others; at least 1.
        troubled_share: Share of its requests that were troubled.
    """

    upstream: ids.UpstreamId
    evidence: float
    slowness: float
    troubled_share: float


def find_outliers(
    counts: Mapping[ids.UpstreamId, quality_counts.QualityCounts],
) -> list[Outlier]:
    """Returns the upstreams that are worse than the others, worst first.

    Several bad upstreams raise the average that each one is compared with. So
    the result is the largest set of the worst upstreams, less than half of
    all, in which each one is worse than the upstreams outside of it.

    Args:
        counts: Answers and troubles of the upstreams of one service.
    """
    total = quality_counts.QualityCounts()
    for own in counts.values():
        total.add(own)
    scores = {
        upstream: _compute_score(own, total) for upstream, own in counts.items()
    }
    ranked = sorted(
        (upstream for upstream, score in scores.items() if score > 0.0),
        key=lambda upstream: -scores[upstream],
    )[: (len(counts) - 1) // 2]
    rest = _copy(total)
    for upstream in ranked:
        rest.subtract(counts[upstream])
    while ranked:
        if _examine(ranked[-1], counts[ranked[-1]], rest) is not None:
            break
        rest.add(counts[ranked.pop()])
    examined = [_examine(u, counts[u], rest) for u in ranked]
    found = [outlier for outlier in examined if outlier is not None]
    found.sort(key=lambda outlier: -outlier.evidence)
    return found


def is_worse(
    own: quality_counts.QualityCounts, others: quality_counts.QualityCounts
) -> bool:
    """Returns whether counts are those of an outlier, however few they are.

    Args:
        own: Answers and troubles of an upstream.
        others: Answers and troubles of the upstreams that are not outliers.
    """
    if _is_overloaded(others):
        return False
    return _is_slow(own, others, 1) or _is_troubled(own, others, 1)


def is_like_others(
    own: quality_counts.QualityCounts, others: quality_counts.QualityCounts
) -> bool:
    """Returns whether counts are clearly not those of an outlier.

    Args:
        own: Answers and troubles of an upstream.
        others: Answers and troubles of the upstreams that are not outliers.
    """
    difference = _mean_slowness(own) - _mean_slowness(others)
    max_share = max(
        _MIN_TROUBLED_SHARE * _RECOVERED_PART, _troubled_share(others)
    )
    return (
        difference < _MIN_SLOWNESS * _RECOVERED_PART
        and _troubled_share(own) <= max_share
    )


def _copy(
    counts: quality_counts.QualityCounts,
) -> quality_counts.QualityCounts:
    copy = quality_counts.QualityCounts()
    copy.add(counts)
    return copy


def _compute_score(
    own: quality_counts.QualityCounts, total: quality_counts.QualityCounts
) -> float:
    """Returns how far an upstream is above the average of the service."""
    others = _copy(total)
    others.subtract(own)
    return _compute_slow_evidence(own, others) + _compute_trouble_evidence(
        own, others
    )


def _examine(
    upstream: ids.UpstreamId,
    own: quality_counts.QualityCounts,
    others: quality_counts.QualityCounts,
) -> Outlier | None:
    """Returns an upstream as an outlier, None if it is not."""
    if _is_overloaded(others):
        return None
    evidence = 0.0
    if _is_slow(own, others, _MIN_ANSWERS):
        evidence = _compute_slow_evidence(own, others)
    if _is_troubled(own, others, _MIN_TROUBLES):
        evidence = max(evidence, _compute_trouble_evidence(own, others))
    if evidence < _MIN_EVIDENCE:
        return None
    slowness = max(0.0, _mean_slowness(own) - _mean_slowness(others))
    multiple = answer_baseline.compute_multiple(slowness)
    return Outlier(upstream, evidence, multiple, _troubled_share(own))


def _is_overloaded(others: quality_counts.QualityCounts) -> bool:
    return (
        _mean_slowness(others) > _MAX_USUAL_SLOWNESS
        or _troubled_share(others) > _MAX_USUAL_TROUBLED_SHARE
    )


def _is_slow(
    own: quality_counts.QualityCounts,
    others: quality_counts.QualityCounts,
    min_answers: int,
) -> bool:
    difference = _mean_slowness(own) - _mean_slowness(others)
    return own.answers >= min_answers and difference >= _MIN_SLOWNESS


def _is_troubled(
    own: quality_counts.QualityCounts,
    others: quality_counts.QualityCounts,
    min_troubles: int,
) -> bool:
    share = _troubled_share(own)
    return (
        own.troubles >= min_troubles
        and share >= _MIN_TROUBLED_SHARE
        and share >= _MIN_TROUBLED_MULTIPLE * _troubled_share(others)
    )


def _compute_slow_evidence(
    own: quality_counts.QualityCounts, others: quality_counts.QualityCounts
) -> float:
    highest = answer_baseline.MAX_SLOWNESS
    return _compute_evidence(
        own.answers,
        _mean_slowness(own) / highest,
        others.answers,
        _mean_slowness(others) / highest,
    )


def _compute_trouble_evidence(
    own: quality_counts.QualityCounts, others: quality_counts.QualityCounts
) -> float:
    return _compute_evidence(
        own.requests,
        _troubled_share(own),
        others.requests,
        _troubled_share(others),
    )


def _compute_evidence(
    number: int, mean: float, other_number: int, other_mean: float
) -> float:
    """Returns the evidence that a mean is above that of other values.

    It is the exponent of the Chernoff bound on the chance of such a mean. It
    holds for all values between 0 and 1, so lost packets and single late
    answers of any length need no separate treatment.

    Args:
        number: Number of values.
        mean: Their mean, 0 to 1.
        other_number: Number of other values.
        other_mean: Mean of the other values, 0 to 1.
    """
    # One more value of 1 allows for the error of a mean of few values.
    expected = (other_mean * other_number + 1.0) / (other_number + 1.0)
    expected = max(expected, _MIN_EXPECTED_SHARE)
    if number <= 0 or mean <= expected:
        return 0.0
    evidence = mean * math.log(mean / expected)
    if mean < 1.0:
        evidence += (1.0 - mean) * math.log((1.0 - mean) / (1.0 - expected))
    return number * evidence


def _mean_slowness(counts: quality_counts.QualityCounts) -> float:
    if counts.answers <= 0:
        return 0.0
    mean = counts.slowness / counts.answers / 100
    return min(max(0.0, mean), answer_baseline.MAX_SLOWNESS)


def _troubled_share(counts: quality_counts.QualityCounts) -> float:
    return counts.troubles / counts.requests if counts.requests > 0 else 0.0
