quetzal_program(quetzal-control ${CMAKE_SOURCE_DIR}/src/control runtime_asio log_glog
                stream_nghttp2 log_file admin_cpprest datagram_asio metrics_prometheus
                platform)
