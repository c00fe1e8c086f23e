quetzal_program(quetzal-timeline ${CMAKE_SOURCE_DIR}/src/timeline)
