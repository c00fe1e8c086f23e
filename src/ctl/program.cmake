quetzal_program(quetzalctl ${CMAKE_SOURCE_DIR}/src/ctl runtime_asio http1_beast)
