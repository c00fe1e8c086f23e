quetzal_program(quetzal-control ${CMAKE_SOURCE_DIR}/src/control runtime_asio log_glog
                stream_nghttp2 log_file http1_beast admin_http1 datagram_asio metrics_prometheus
                platform)
