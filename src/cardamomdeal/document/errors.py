"""Problems found in environment documents."""

import dataclasses

from cardamomdeal.internal import errors


class DocumentError(errors.CardamomdealError):
    """Base of the errors of this package."""


@dataclasses.dataclass(frozen=True, slots=True)
class Problem:
    """Say what is wrong with one field and how to mend it."""

    path: str
    value: str
    reason: str
    remedy: str

    def __str__(self) -> str:
        return f'{self.path}: {self.reason} (got {self.value}); {self.remedy}'


class DocumentRejected(DocumentError):
    """Report every problem of a document at once."""

    def __init__(self, problems: tuple[Problem, ...]) -> None:
        super().__init__('; '.join(str(problem) for problem in problems))
        self.problems = problems
