//! Carries troubles out.

use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use tokio::time::sleep;

use crate::control::Passage;
use crate::fault::Fault;
use crate::scenario::Trouble;
use crate::stage::{locked, Stage};
use crate::troubles::{concerned, zones_of};

impl Stage {
    /// Plays one trouble from the end of the start on.
    pub async fn trouble(self: Arc<Stage>, trouble: Trouble) -> Result<(), Fault> {
        sleep(Duration::from_secs_f64(trouble.at_s())).await;
        let concerned = concerned(&self.scenario, &trouble);
        let kind = trouble.name();
        match trouble {
            Trouble::RollingRestart { gap_s, down_s, .. } => {
                let restarts = concerned.into_iter().zip(0_u32..).map(|(forwarder, n)| {
                    let stage = self.clone();
                    async move {
                        sleep(Duration::from_secs_f64(gap_s) * n).await;
                        stage.restart(kind, forwarder, true, down_s).await
                    }
                });
                join_all(restarts).await.into_iter().collect()
            }
            Trouble::Zone { down_s, .. } | Trouble::Rack { down_s, .. } => {
                let restarts = concerned.into_iter().map(|n| self.restart(kind, n, false, down_s));
                join_all(restarts).await.into_iter().collect()
            }
            Trouble::ControlRestart { down_s, forgets, .. } => {
                let all: Vec<usize> = (0..self.doors.len()).collect();
                self.shut(kind, &concerned, &all, Passage::Closed, down_s, forgets).await;
                Ok(())
            }
            Trouble::RegionCut { lasts_s, region, .. } => {
                let zones = zones_of(&self.scenario, region);
                let real = self.reals.len();
                let zone_doors = zones.into_iter().map(|zone| real + zone as usize);
                let real_doors = concerned.iter().map(|n| *n as usize).filter(|n| *n < real);
                let doors: Vec<usize> = real_doors.chain(zone_doors).collect();
                self.shut(kind, &concerned, &doors, Passage::CutOff, lasts_s, false).await;
                Ok(())
            }
        }
    }

    async fn shut(
        &self,
        kind: &'static str,
        concerned: &[u32],
        doors: &[usize],
        passage: Passage,
        lasts_s: f64,
        forgets: bool,
    ) {
        {
            let mut outages = locked(&self.outages);
            concerned.iter().for_each(|forwarder| outages.begin(kind, *forwarder));
        }
        doors.iter().for_each(|door| self.doors[*door].set(passage));
        sleep(Duration::from_secs_f64(lasts_s)).await;
        if forgets {
            self.truth.forget_changes();
        }
        doors.iter().for_each(|door| self.doors[*door].set(Passage::Open));
        let mut outages = locked(&self.outages);
        concerned.iter().for_each(|forwarder| outages.end(kind, *forwarder));
    }

    async fn restart(
        &self,
        kind: &'static str,
        forwarder: u32,
        planned: bool,
        down_s: f64,
    ) -> Result<(), Fault> {
        locked(&self.outages).begin(kind, forwarder);
        let down = Duration::from_secs_f64(down_s);
        if let Some(real) = self.reals.get(forwarder as usize) {
            {
                // Held while it is down, so that nobody else ends or starts it meanwhile.
                let mut real = real.lock().await;
                if planned {
                    real.stop().await;
                } else {
                    real.kill().await;
                }
                sleep(down).await;
                real.start()?;
            }
            locked(&self.outages).end(kind, forwarder);
            self.list_in_force(real, kind).await;
            return Ok(());
        }
        if let Some(hollow) = self.hollows.get(forwarder as usize - self.reals.len()) {
            locked(hollow).kill();
            sleep(down).await;
            self.start_hollow(&mut locked(hollow));
        }
        locked(&self.outages).end(kind, forwarder);
        Ok(())
    }
}
