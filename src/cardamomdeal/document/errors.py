"""Problems found in environment documents."""

import dataclasses

from cardamomdeal.internal import errors


class DocumentError(errors.CardamomdealError):
    """Base class of document errors."""


@dataclasses.dataclass(frozen=True, slots=True)
class Problem:
    """Validation problem of one field and how to correct it."""

    path: str
    value: str
    reason: str
    remedy: str

    def __str__(self) -> str:
        return f'{self.path}: {self.reason} (got {self.value}); {self.remedy}'


class DocumentRejected(DocumentError):
    """Document that failed validation, with all its problems."""

    def __init__(self, problems: tuple[Problem, ...]) -> None:
        super().__init__('; '.join(str(problem) for problem in problems))
        self.problems = problems
