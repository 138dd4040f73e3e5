"""Finds the service for a model or service name that a team may call."""

from typing import NamedTuple

from cactusridge.errors import ModelNotFound, NotFound
from cactusridge.settings import paths
from cactusridge.settings.paths import NodeKind
from cactusridge.settings.schema import ServiceKind, ServiceSettings
from cactusridge.settings.tree import SettingsTree

ALL_TEAMS = '*'


class Service(NamedTuple):
    """A service with its settings path, owning team and settings."""

    path: str
    team: str
    settings: ServiceSettings

    @property
    def name(self) -> str:
        """Return the last segment of the service's path."""
        return self.path.rpartition('/')[-1]

    def is_callable_by(self, team: str) -> bool:
        """Return whether ``team`` may call this service."""
        callers = self.settings.callers
        return team == self.team or team in callers or ALL_TEAMS in callers


class ServiceCatalog:
    """Indexes services by path, model and name; follows the settings tree."""

    def __init__(self, tree: SettingsTree) -> None:
        """Index the services of ``tree`` and follow its changes."""
        self._tree = tree
        self._services: dict[str, Service] = {}
        self._by_name: dict[str, set[str]] = {}
        tree.follow(self._on_change)

    def by_path(self, path: str) -> Service | None:
        """Return the service at ``path``, or None."""
        return self._services.get(path)

    def model(self, name: str, team: str) -> Service:
        """Return the service that serves the model ``name`` to ``team``.

        Raises ModelNotFound if ``team`` may call no such service.
        """
        for service in self._callable_services(name, team):
            if service.settings.kind == ServiceKind.model:
                return service
        raise ModelNotFound(
            f'The model `{name}` does not exist or you do not have access'
            ' to it.',
            param='model',
        )

    def plain(self, name: str, team: str) -> Service:
        """Return the plain service ``name`` that ``team`` may call.

        Raises NotFound if there is none.
        """
        for service in self._callable_services(name, team):
            if service.settings.kind == ServiceKind.plain:
                return service
        raise NotFound(
            f'no plain service {name} exists that this team may call'
        )

    def models(self, team: str) -> list[tuple[str, Service]]:
        """Return the models that ``team`` may call, sorted, with services."""
        return sorted(
            (name, service)
            for service in self._services.values()
            if service.is_callable_by(team)
            for name in service.settings.models
        )

    def _callable_services(self, name: str, team: str) -> list[Service]:
        found = [self._services[path] for path in self._by_name.get(name, ())]
        # A service that the team owns takes precedence over a service of
        # another team that lists it as a caller.
        found.sort(key=lambda service: (service.team != team, service.path))
        return [service for service in found if service.is_callable_by(team)]

    def _on_change(self, path: str) -> None:
        node = paths.parse(path)
        if node.kind != NodeKind.service:
            return
        old = self._services.pop(path, None)
        if old is not None:
            for name in self._lookup_names(old):
                self._by_name[name].discard(path)
        settings = self._tree.model(path)
        if settings is None:
            return
        service = Service(path, node.team, settings)
        self._services[path] = service
        for name in self._lookup_names(service):
            self._by_name.setdefault(name, set()).add(path)

    def _lookup_names(self, service: Service) -> tuple[str, ...]:
        if service.settings.kind == ServiceKind.plain:
            return (service.name,)
        return service.settings.models
