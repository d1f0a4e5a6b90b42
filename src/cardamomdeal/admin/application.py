"""WSGI application of the administration API."""

from collections.abc import Callable
from typing import Any

import pydantic
from returns.result import Failure
from returns.result import Success

from cardamomdeal.admin import errors
from cardamomdeal.admin import operations
from cardamomdeal.admin import schema
from cardamomdeal.document import check
from cardamomdeal.document import errors as document_errors
from cardamomdeal.internal import http_json

MAX_BODY_BYTES = 4 * 1024**2
ENVIRONMENTS = (operations.TRIAL, operations.PRODUCTION)


class Application:
    """Application that routes HTTP requests to the operations."""

    def __init__(self, api_operations: operations.Operations) -> None:
        self._operations = api_operations

    def __call__(
        self,
        environ: dict[str, Any],
        start_response: http_json.StartResponse,
    ) -> list[bytes]:
        """Handle one HTTP request."""
        request = http_json.read_request(environ)
        return http_json.send_response(self._route(request), start_response)

    def _route(self, request: http_json.JsonRequest) -> http_json.JsonResponse:
        parts = tuple(part for part in request.path.split('/') if part)
        match (request.method, *parts):
            case ('POST', 'documents', 'check'):
                return self._run_with_body(
                    request, schema.CheckBody, self._operations.check
                )
            case ('PUT', 'environments', operations.TRIAL):
                return self._run_with_body(
                    request, schema.TrialBody, self._operations.try_document
                )
            case ('POST', 'environments', operations.PRODUCTION, 'promote'):
                return self._run_with_body(
                    request, schema.PromoteBody, self._operations.promote
                )
            case ('GET', 'environments', name) if name in ENVIRONMENTS:
                return _response(self._operations.show(name))
            case ('GET', 'environments', name, 'status') if (
                name in ENVIRONMENTS
            ):
                return _response(self._operations.status(name))
            case ('GET', 'environments', name, 'histograms') if (
                name in ENVIRONMENTS
            ):
                return _response(self._operations.histograms(name))
            case ('POST', 'environments', name, 'hosts', host, 'drain') if (
                name in ENVIRONMENTS
            ):
                return _response(self._operations.drain(name, host))
            case _:
                return _error_response(
                    404, f'{request.method} {request.path} is not served'
                )

    def _run_with_body(
        self,
        request: http_json.JsonRequest,
        body_class: type[pydantic.BaseModel],
        operation: Callable[[Any], operations.OperationResult],
    ) -> http_json.JsonResponse:
        try:
            body = body_class.model_validate_json(request.body)
        except pydantic.ValidationError as error:
            return _problems_response(
                400, tuple(check.validation_problems(error))
            )
        return _response(operation(body))


def _response(result: operations.OperationResult) -> http_json.JsonResponse:
    match result:
        case Success(body):
            return http_json.JsonResponse(200, body)
        case Failure(document_errors.DocumentRejected(problems=problems)):
            return _problems_response(422, problems)
        case Failure(errors.ChangeRejected() as error):
            return _error_response(409, str(error))
        case Failure(errors.ChangeOutcomeUnknown() as error):
            return _error_response(504, str(error))
        case Failure(error):
            return _error_response(503, str(error))


def _problems_response(
    status: int, problems: check.Problems
) -> http_json.JsonResponse:
    return http_json.JsonResponse(
        status, {'problems': [str(problem) for problem in problems]}
    )


def _error_response(status: int, reason: str) -> http_json.JsonResponse:
    return http_json.JsonResponse(status, {'error': reason})
