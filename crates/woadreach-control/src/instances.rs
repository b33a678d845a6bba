//! HTTP interface of the replicas' heartbeats: `PUT` and `DELETE /instances/{id}`.
