"""Answers and troubles of one upstream."""

from __future__ import annotations

from persimmonhinge import records


class QualityCounts(records.Record):
    """Answers and troubles of one upstream in a period.

    Attributes:
        answers: Number of answers.
        slowness: Sum of the slowness of the answers, in hundredths; see
            `answer_baseline.AnswerBaseline.compare`.
        troubles: Number of requests that the upstream failed or left
            unanswered.
        reopenings: Number of the answers after which the caller opened another
            flow at once. Reported counts have none, as hosts count them as
            troubles in reports.
    """

    answers: int = 0
    slowness: int = 0
    troubles: int = 0
    reopenings: int = 0

    @property
    def requests(self) -> int:
        """Number of requests whose outcome is known."""
        return self.answers + self.troubles

    @property
    def is_empty(self) -> bool:
        """Whether all counts are 0."""
        return not (
            self.answers or self.slowness or self.troubles or self.reopenings
        )

    def add(self, other: QualityCounts) -> None:
        """Adds other counts to these."""
        self.answers += other.answers
        self.slowness += other.slowness
        self.troubles += other.troubles
        self.reopenings += other.reopenings

    def subtract(self, other: QualityCounts) -> None:
        """Subtracts other counts from these."""
        self.answers -= other.answers
        self.slowness -= other.slowness
        self.troubles -= other.troubles
        self.reopenings -= other.reopenings

    def count_reopenings_as_troubles(self, host_count: int) -> QualityCounts:
        """Returns the counts with answers before a reopening as troubles.

        A caller's next flow may reach any host of the failure domain. A host
        thus sees one reopening of `host_count`. No more answers count as
        troubles than the host saw, so that one host with reopenings by chance
        can't decide for all.

        Args:
            host_count: Number of hosts that the caller's next flow may reach.
        """
        failed = min(self.answers, self.reopenings * host_count)
        answers = self.answers - failed
        slowness = self.slowness * answers // max(1, self.answers)
        return QualityCounts(answers, slowness, self.troubles + failed)
