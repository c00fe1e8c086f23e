quetzal_program(quetzal-node ${CMAKE_SOURCE_DIR}/src/node runtime_asio log_glog
                stream_nghttp2 http1_beast datagram_asio admin_http1 metrics_prometheus
                load_policy_earliest_completion load_policy_least_outstanding load_policy_random
                load_policy_round_robin load_policy_two_choices platform)
