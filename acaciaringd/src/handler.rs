//! Handler of messages from other members.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use acaciaring_core::state::Departure;
use acaciaring_schema::log::{Appended, Batch};
use acaciaring_schema::peer::{
    Answer, Append, Datagram, Done, Intent, IntentReply, Records, Release, Request, StatusReply,
    Sync, call, reply,
};
use crossbeam_channel::Sender;

use crate::clock;
use crate::control::Event;
use crate::declared::Declarations;
use crate::gate::Gate;
use crate::peer::{BoxFuture, CancelFlag, Handler};
use crate::platform::{AppendError, LogService};
use crate::quarantine::Quarantine;
use crate::recent_records::RecentRecords;
use crate::status;
use crate::view::Shared;

/// Dispatches messages from other members to the components that serve them.
pub(crate) struct PeerHandler {
    pub(crate) events: Sender<Event>,
    pub(crate) gate: Arc<Gate>,
    pub(crate) shared: Arc<Shared>,
    pub(crate) recent: Arc<RecentRecords>,
    pub(crate) log: Arc<dyn LogService>,
    pub(crate) declarations: Arc<Declarations>,
    pub(crate) quarantine: Arc<Quarantine>,
}

impl Handler for PeerHandler {
    fn datagram(&self, from: SocketAddr, datagram: Datagram) {
        // Control has ended only when the process is about to exit.
        let _ = self.events.send(Event::Datagram(from, datagram));
    }

    fn call(&self, call: call::Body) -> BoxFuture<'_, reply::Body> {
        Box::pin(self.serve(call))
    }

    fn request<'a>(&'a self, request: Request, cancelled: &'a CancelFlag) -> BoxFuture<'a, Answer> {
        Box::pin(self.run(request, cancelled))
    }
}

impl PeerHandler {
    async fn run(&self, request: Request, cancelled: &CancelFlag) -> Answer {
        let answer = self.gate.run(&request, cancelled).await;
        Answer { declared: self.declarations.version(), ..answer }
    }

    async fn serve(&self, call: call::Body) -> reply::Body {
        match call {
            call::Body::Vote(vote) => self.notify_control(Event::Vote(vote)),
            call::Body::Release(release) => self.release(release),
            call::Body::Sync(sync) => self.sync(&sync),
            call::Body::Intent(intent) => self.intent(&intent),
            call::Body::Outcome(outcome) => {
                self.gate.outcome(&outcome);
                done(true)
            }
            call::Body::Feed(feed) => self.notify_control(Event::Feed(feed)),
            call::Body::Records(records) => reply::Body::Records(self.records(&records)),
            call::Body::Append(append) => self.append(append).await,
            call::Body::Declaration(_) => reply::Body::Declaration(self.declarations.newest()),
            call::Body::Suspects(suspects) => self.quarantine.exchange(clock::now(), &suspects),
            call::Body::Departure(depart) => {
                self.notify_control(Event::Departed(Departure::from_record(&depart)))
            }
            call::Body::Status(_) => reply::Body::Status(self.status()),
            // Answered by the transport, which does not pass them on.
            call::Body::Request(_)
            | call::Body::Probe(_)
            | call::Body::Fetch(_)
            | call::Body::Cancel(_) => done(true),
        }
    }

    fn notify_control(&self, event: Event) -> reply::Body {
        // Control has ended only when the process is about to exit.
        let _ = self.events.send(event);
        done(true)
    }

    fn release(&self, release: Release) -> reply::Body {
        self.notify_control(Event::Released(release))
    }

    fn sync(&self, sync: &Sync) -> reply::Body {
        let blind = Duration::from_millis(u64::from(sync.blind));
        done(self.gate.sync(&sync.workspace, &sync.units, &sync.dedup, blind))
    }

    fn intent(&self, intent: &Intent) -> reply::Body {
        reply::Body::Intent(IntentReply { accepted: self.gate.intent(intent) })
    }

    fn records(&self, records: &Records) -> Batch {
        self.recent.read(records.from, records.max)
    }

    async fn append(&self, append: Append) -> reply::Body {
        let log = Arc::clone(&self.log);
        let job = tokio::task::spawn_blocking(move || log.append(&append.record));
        let Ok(appended) = job.await else {
            return reply::Body::Appended(Appended { offset: 0 });
        };
        match appended {
            Ok(offset) => reply::Body::Appended(Appended { offset }),
            // Offset 0 means that the append is unconfirmed.
            Err(AppendError::Unknown { .. }) => reply::Body::Appended(Appended { offset: 0 }),
            // The record was not appended.
            Err(AppendError::Refused { .. }) => done(false),
        }
    }

    fn status(&self) -> StatusReply {
        status::reply(&self.shared, &self.gate)
    }
}

fn done(accepted: bool) -> reply::Body {
    reply::Body::Done(Done { accepted })
}
