"""The service catalog: checks across service files and route lookup."""

from collections.abc import Iterable, Iterator
from typing import Final, NamedTuple, final
from urllib.parse import unquote

from expression import Error, Ok, Result

from peridotrill.findings import Finding
from peridotrill.services import (
    FILE_SUFFIX,
    MAX_PATH_CHARACTERS,
    Route,
    Service,
    ServiceFile,
    read_service_file,
)
from peridotrill.yaml_nodes import Mark

_DOT_SEGMENTS: Final = frozenset(('.', '..'))


@final
class Catalog:
    """The services of one version of the configuration."""

    def __init__(self, version: int, services: dict[str, Service]) -> None:
        """:param version: log offset of its record; 0 before the first one."""
        self.version = version
        self.services = services
        self._models = {
            service.model: service
            for service in services.values()
            if service.model is not None
        }
        self._routes: dict[tuple[str, str], tuple[Service, Route]] = {}
        for service in services.values():
            if service.kind == 'plain':
                self._add_routes(service)

    def find_route(
        self,
        path: str,
        method: str,
    ) -> tuple[Service, Route] | None:
        """Find the plain service and the route for a request.

        :param path: path without the query string. A path with ``.`` or
            ``..`` segments matches nothing, because a target that resolves
            them would serve a different route.
        :param method: HTTP method in upper case.
        :return: the longest matching route for the method, or None.
        """
        if not _has_no_dot_segments(path):
            return None
        for prefix in _path_prefixes(path):
            found = self._routes.get((method, prefix))
            if found is not None:
                return found
        return None

    def find_model(self, model: str) -> Service | None:
        """Find the service that serves a model."""
        return self._models.get(model)

    def _add_routes(self, service: Service) -> None:
        for route in service.routes:
            for method in route.methods:
                self._routes[method, route.path] = (service, route)


def build_catalog(
    version: int,
    texts: dict[str, str],
) -> Result[Catalog, list[Finding]]:
    """Parse all service files and check them against each other.

    :param version: version of the new catalog.
    :param texts: content of the service files by service name.
    :return: the catalog, or the findings of all files.
    """
    files, findings = parse_service_files(
        (f'{name}{FILE_SUFFIX}', text) for name, text in texts.items()
    )
    findings.extend(_check_names(files))
    findings.extend(find_duplicates(files))
    if findings:
        return Error(sorted(findings))
    services = {found.service.name: found.service for found in files}
    return Ok(Catalog(version, services))


def _check_names(files: Iterable[ServiceFile]) -> Iterator[Finding]:
    for file in files:
        name = file.place.removesuffix(FILE_SUFFIX)
        if file.service.name != name:
            message = f'the file is published as {name!r}'
            yield Finding(file.place, *file.name_mark, 'other_name', message)


def parse_service_files(
    sources: Iterable[tuple[str, str]],
) -> tuple[list[ServiceFile], list[Finding]]:
    """Parse service files.

    :param sources: file name and content of each file.
    :return: the valid files, and the findings of the others.
    """
    files: list[ServiceFile] = []
    findings: list[Finding] = []
    for place, text in sources:
        match read_service_file(place, text):
            case Result(tag='ok', ok=found):
                files.append(found)
            case Result(error=errors):
                findings.extend(errors)
    return files, findings


class _Definition(NamedTuple):
    """The definition of a name that must be unique across all files."""

    subject: str
    place: str
    mark: Mark


def find_duplicates(files: Iterable[ServiceFile]) -> list[Finding]:
    """Find service names, models and routes that are defined twice.

    :param files: valid files; the finding is reported at the later one.
    """
    first: dict[str, _Definition] = {}
    findings: list[Finding] = []
    for definition in _definitions(files):
        earlier = first.setdefault(definition.subject, definition)
        if earlier is not definition:
            line = earlier.mark.line
            message = (
                f'{definition.subject} is already defined in '
                f'{earlier.place}:{line}'
            )
            findings.append(
                Finding(
                    definition.place, *definition.mark, 'duplicate', message
                ),
            )
    return findings


def _definitions(files: Iterable[ServiceFile]) -> Iterator[_Definition]:
    for place, service, name_mark, model_mark, route_marks in files:
        yield _Definition(f'service {service.name}', place, name_mark)
        if service.kind == 'model':
            yield _Definition(f'model {service.model}', place, model_mark)
        for route, mark in zip(service.routes, route_marks, strict=False):
            # Model services share their paths; the model selects the service.
            owner = f' of {service.name}' if service.kind == 'model' else ''
            for method in sorted(route.methods):
                subject = f'route {method} {route.path}{owner}'
                yield _Definition(subject, place, mark)


def _path_prefixes(path: str) -> Iterator[str]:
    if len(path) <= MAX_PATH_CHARACTERS:
        yield path
    # Routes are not longer than this, so longer prefixes cannot match.
    slash = path.rfind('/', 0, MAX_PATH_CHARACTERS)
    while slash >= 0:
        yield path[: slash + 1]
        slash = path.rfind('/', 0, slash)


def _has_no_dot_segments(path: str) -> bool:
    segments = unquote(path).replace('\\', '/').split('/')
    return path.startswith('/') and _DOT_SEGMENTS.isdisjoint(segments)
