//! Tests of the decision logic of the HTTP gateway.

mod cold_rate;
mod crash_book;
mod customers;
mod dispatcher;
mod entry_order;
mod evacuations;
mod fairness;
mod fixtures;
mod leaving;
mod limits;
mod lookup_balancer;
mod machine_pace;
mod members;
mod outcome;
mod pauses;
mod remote_in_flight;
mod restored;
mod retry_budget;
mod routes;
mod second_attempt;
mod server_set;
mod service_times;
mod store_readers;
mod store_revision;
mod store_view;
