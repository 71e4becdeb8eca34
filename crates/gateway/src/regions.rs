//! Servers that a request may run on, as far as their regions go.

use std::sync::Arc;

use toucanwall_routing::server;

use crate::exchange;

impl exchange::Exchange {
    /// The servers of the request's service that stay and are in regions which both the route and the
    /// organisation allow.
    #[must_use]
    pub fn staying_servers(&self) -> Vec<Arc<server::BackendServer>> {
        let mut servers = self.state.staying_servers(&self.service);
        servers.retain(|server| self.is_in_allowed_region(server));
        servers
    }

    /// Whether the service has servers, but none in a region that the request may run in.
    #[must_use]
    pub fn is_confined_to_other_regions(&self) -> bool {
        let view = self.state.view();
        let servers = view.ready_servers_of(&self.service);
        !servers.is_empty() && !servers.iter().any(|server| self.is_in_allowed_region(server))
    }

    fn is_in_allowed_region(&self, server: &server::BackendServer) -> bool {
        let region = self.state.settings.regions.get(&server.data_centre);
        let organisation = self.organisation.as_ref();
        self.route.allowed_regions.includes(region)
            && organisation.is_none_or(|known| known.allowed_regions.includes(region))
    }
}
