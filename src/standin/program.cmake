foreach(name standin load fault_proxy)
  string(REPLACE _ - program ${name})
  add_executable(quetzal-${program} ${CMAKE_SOURCE_DIR}/src/standin/${name}_main.cc
                 ${CMAKE_SOURCE_DIR}/src/standin/blocking_http.cc)
  target_include_directories(quetzal-${program} PRIVATE src)
  target_link_libraries(quetzal-${program} PRIVATE quetzal Boost::system)
endforeach()
