//! Selects the endpoints and forwarders that a fault affects.

use rand::RngExt;

use super::plan::FleetLayout;
use crate::distribution::RandomSource;
use crate::fault::{EndpointSelector, ForwarderSelector};
use crate::ids::{EndpointIndex, ForwarderIndex};

impl FleetLayout {
    /// Returns the endpoints that match a selector; a share of destinations is drawn at random.
    pub fn select_endpoints(
        &self,
        selector: &EndpointSelector,
        random: &mut RandomSource,
    ) -> Vec<EndpointIndex> {
        let destinations: Vec<usize> = match selector.destination_share {
            Some(share) if selector.destinations.is_empty() => self.draw_destinations(share.get(), random),
            _ => selector.destinations.iter().map(|rank| *rank as usize).collect(),
        };
        let mut selected = Vec::new();
        for plan in destinations.iter().filter_map(|rank| self.destinations.get(*rank)) {
            let share = selector.endpoint_share.map_or(1.0, |share| share.get());
            let count = (share * plan.endpoints.len() as f64).ceil().max(1.0) as usize;
            selected.extend(plan.endpoints.iter().take(count));
        }
        selected
    }

    /// Draws a share of all destinations and returns their ranks in ascending order.
    fn draw_destinations(&self, share: f64, random: &mut RandomSource) -> Vec<usize> {
        let count = (share * self.destinations.len() as f64).ceil() as usize;
        let mut drawn: Vec<usize> = (0..self.destinations.len()).collect();
        for position in 0..count.min(drawn.len()) {
            let other = random.random_range(position..drawn.len());
            drawn.swap(position, other);
        }
        drawn.truncate(count);
        drawn.sort_unstable();
        drawn
    }

    /// Returns the forwarders that match a selector.
    pub fn select_forwarders(&self, selector: &ForwarderSelector) -> Vec<ForwarderIndex> {
        match selector.share {
            Some(share) if selector.forwarders.is_empty() => {
                let count = (share.get() * self.forwarders.len() as f64).ceil() as usize;
                (0..count).map(ForwarderIndex).collect()
            }
            _ => selector.forwarders.iter().map(|index| ForwarderIndex(*index as usize)).collect(),
        }
    }
}
