"""Looks up routes, workspaces and services of a configuration."""

from random import choices

from mulberryhub.fleet.records import Configuration


class ConfigurationView:
    """A configuration with indexes for lookups by request."""

    __slots__ = (
        "configuration",
        "workspaces_by_key",
        "services_by_name",
        "_routes_by_host",
        "_cache_services",
    )

    def __init__(self, configuration: Configuration):
        self.configuration = configuration
        self.services_by_name = {item.name: item for item in configuration.services}
        self.workspaces_by_key = {
            key: workspace
            for workspace in configuration.workspaces
            for key in workspace.keys
        }
        self._routes_by_host = {}
        for route in configuration.routes:
            routes_by_prefix = self._routes_by_host.setdefault(route.host.lower(), {})
            routes_by_prefix[route.path_prefix] = route
        self._cache_services = [
            item for item in configuration.services if item.cache_address
        ]

    def route(self, host, path):
        """Return the route of `host` with the longest prefix of `path`, or None."""
        routes_by_prefix = self._routes_by_host.get(host.lower())
        if routes_by_prefix is None:
            return None
        end = path.rfind("/")
        while end >= 0:
            route = routes_by_prefix.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None

    def cache_service(self, data_centre):
        """Return the KV cache store to use, or None.

        One in `data_centre` is preferred.
        """
        for service in self._cache_services:
            if service.cache_data_centre == data_centre:
                return service
        return self._cache_services[0] if self._cache_services else None


def choose_service(route):
    """Return the service name of a random target of `route`, by weight."""
    targets = route.targets
    if len(targets) == 1:
        return targets[0].service
    weights = [target.weight for target in targets]
    return choices(targets, weights)[0].service
