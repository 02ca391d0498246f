"""Looks up routes, workspaces and services of a configuration."""

from random import choices

from mulberryhub.fleet.records import Configuration
from mulberryhub.forward.cache_scope import isolated_scope, shared_scope

# So that no workspace starves where quotas differ by orders of magnitude.
MIN_QUOTA_WEIGHT = 0.25
MAX_QUOTA_WEIGHT = 4.0


class ConfigurationView:
    """A configuration with indexes for lookups by request."""

    __slots__ = (
        "configuration",
        "workspaces_by_key",
        "workspaces_by_name",
        "services_by_name",
        "_shared_scope",
        "_routes_by_host",
        "_cache_services",
        "_cache_data_centres",
        "_mean_rate",
    )

    def __init__(self, configuration: Configuration):
        self.configuration = configuration
        self.services_by_name = {item.name: item for item in configuration.services}
        self.workspaces_by_name = {item.name: item for item in configuration.workspaces}
        self.workspaces_by_key = {
            key: workspace
            for workspace in configuration.workspaces
            for key in workspace.keys
        }
        rates = [item.rate for item in configuration.workspaces if item.rate]
        self._mean_rate = sum(rates) / len(rates) if rates else 0
        self._shared_scope = shared_scope(
            {item.name for item in configuration.workspaces if item.is_isolated}
        )
        self._routes_by_host = {}
        for route in configuration.routes:
            routes_by_prefix = self._routes_by_host.setdefault(route.host.lower(), {})
            routes_by_prefix[route.path_prefix] = route
        self._cache_services = [
            item for item in configuration.services if item.cache_address
        ]
        self._cache_data_centres = {
            item.cache_data_centre for item in self._cache_services
        }

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

    def quota_weight(self, workspace):
        """Return the rate of a workspace relative to the mean, 1 without a rate.

        It is kept between MIN_QUOTA_WEIGHT and MAX_QUOTA_WEIGHT.
        """
        if workspace is None or not workspace.rate:
            return 1.0
        weight = workspace.rate / self._mean_rate
        return min(MAX_QUOTA_WEIGHT, max(MIN_QUOTA_WEIGHT, weight))

    def cache_scope(self, workspace):
        """Return the scope of cached prompt parts for requests of `workspace`, or None.

        Only the name of `workspace` counts, as the request may have been admitted under
        an earlier configuration. A workspace that is no longer there shares no parts.
        """
        if workspace is None:
            return self._shared_scope
        current = self.workspaces_by_name.get(workspace.name)
        if current is None or current.is_isolated:
            return isolated_scope(workspace.name)
        return self._shared_scope

    def cache_service(self, data_centre):
        """Return the KV cache store to use, or None.

        One in `data_centre` is preferred.
        """
        for service in self._cache_services:
            if service.cache_data_centre == data_centre:
                return service
        return self._cache_services[0] if self._cache_services else None

    def has_cache_service(self, data_centre):
        """Return whether `data_centre` has a KV cache store of its own."""
        return data_centre in self._cache_data_centres


def choose_service(route):
    """Return the service name of a random target of `route`, by weight."""
    targets = route.targets
    if len(targets) == 1:
        return targets[0].service
    weights = [target.weight for target in targets]
    return choices(targets, weights)[0].service
