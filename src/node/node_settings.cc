#include "node/node_settings.h"

namespace quetzal {

SettingsReader NodeSettingsReader() {
  using K = SettingKind;
  return SettingsReader(
      "quetzal-node",
      "routes callers' requests and is the only way to its own backend server",
      {
          {"instance", K::kText, "", "", 0, 0, true, "Name of this instance."},
          {"data-centre", K::kText, "", "", 0, 0, true, "Name of its data centre."},
          {"callers", K::kEndpoint, "address:port", "", 0, 0, true,
           "Address for callers' requests (HTTP/1.1)."},
          {"streams", K::kEndpoint, "address:port", "", 0, 0, true,
           "Address for other instances (HTTP/2 over TCP)."},
          {"advertised-streams", K::kText, "address:port", "", 0, 0, false,
           "Address that other instances use in place of --streams, as behind a proxy."},
          {"gossip", K::kEndpoint, "address:port", "", 0, 0, true,
           "Address for other nodes (UDP)."},
          {"admin", K::kEndpoint, "address:port", "", 0, 0, true,
           "Address for announcements, status and metrics (HTTP)."},
          {"control", K::kEndpointList, "address:port", "", 0, 0, true,
           "Stream addresses of the control instances."},
          {"seeds", K::kEndpointList, "address:port", "", 0, 0, false,
           "Gossip addresses of some other nodes."},
          {"control-port", K::kInteger, "", "0", 0, 65535, false,
           "Stream port of all control instances; 0: the ports that --control states."},
          {"control-gossip-port", K::kInteger, "", "0", 0, 65535, false,
           "Port at which the control instances take part in the membership; 0: they "
           "take "
           "no part."},
          {"service", K::kText, "", "", 0, 0, false,
           "Service of the local backend server: requests state it as the service of "
           "their caller, and heartbeats of the server must name it."},
          {"call-dialect", K::kText, "", "quetzal", 0, 0, false,
           "Plug-in that names the header fields of callers and backend servers."},
          {"server-interface", K::kText, "", "", 0, 0, false,
           "Plug-in that reads the heartbeats of the backend server."},
          {"heartbeats", K::kEndpoint, "address:port", "", 0, 0, false,
           "With --server-interface: address for the heartbeats."},
          {"heartbeat-period-ms", K::kMillis, "ms", "0", 0, 600000, false,
           "Period of the heartbeats; when stated, it sets --announcement-timeout-ms."},
          {"readiness", K::kEndpoint, "address:port", "", 0, 0, false,
           "With --server-interface: address that reports whether the node accepts "
           "callers."},
          {"reconnect-cap-ms", K::kMillis, "ms", "2000", 10, 600000, false,
           "Longest pause between tries to reach a source of configurations."},
          {"credential-lease-ms", K::kMillis, "ms", "0", 0, 600000, false,
           "Time for which credentials of teams are used after a control instance has "
           "confirmed them; 0: without confirmation."},
          {"caller-grace-ms", K::kMillis, "ms", "0", 0, 600000, false,
           "Time after a stop signal in which new callers are still served."},
          {"stop-limit-ms", K::kMillis, "ms", "0", 0, 600000, false,
           "Time from a stop signal to the end of the process; when stated, it sets "
           "--drain-limit-ms."},
          {"load-policy", K::kText, "", "", 0, 0, false,
           "Policy that chooses among the backend servers of a service where the "
           "configuration names none."},
          {"retry-ratio", K::kRatio, "", "0", 0, 0, false,
           "With --retry-burst: retries as a share of the requests of a service."},
          {"retry-burst", K::kRoundedDown, "retries", "0", 0, 1000000, false,
           "Retries of all nodes together beyond the share; 0: the policy of the "
           "configuration counts."},
          {"log-file", K::kText, "", "", 0, 0, false,
           "File for the events; empty: standard error; -: standard output."},
          {"workers", K::kInteger, "threads", "2", 1, 64, false,
           "Threads that do the work."},
          {"drain-limit-ms", K::kMillis, "ms", "30000", 0, 600000, false,
           "Time for requests in flight when the node stops."},
          {"announcement-timeout-ms", K::kMillis, "ms", "3000", 100, 600000, false,
           "Time without announcements or heartbeats after which the backend server "
           "counts as down."},
          {"head-timeout-ms", K::kMillis, "ms", "10000", 10, 600000, false,
           "Time for the head of a caller's request."},
          {"max-callers", K::kInteger, "connections", "2048", 1, 100000, false,
           "Connections of callers at once."},
          {"half-close-cancels", K::kFlag, "", "false", 0, 0, false,
           "Cancel the request of a caller that closes its sending side of the "
           "connection; otherwise the caller still gets the answer."},
          {"call-timeout-ms", K::kMillis, "ms", "30000", 10, 3600000, false,
           "Time limit of requests whose route has none."},
          {"key-records", K::kInteger, "records", "40000", 1, 10000000, false,
           "Maximum number of idempotency keys."},
          {"key-bytes", K::kInteger, "bytes", "14680064", 65536, 1073741824, false,
           "Memory for idempotency keys at most."},
      });
}

}  // namespace quetzal
