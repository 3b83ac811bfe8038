# Third-party libraries and helpers that the packages share.
find_package(PkgConfig REQUIRED)
find_package(Threads REQUIRED)
find_package(prometheus-cpp REQUIRED CONFIG)
pkg_check_modules(XXHASH REQUIRED IMPORTED_TARGET libxxhash)
if(NOT EELGRASSLOOM_PLATFORM_ONLY)
  find_package(glog REQUIRED CONFIG)
  pkg_check_modules(GRPC REQUIRED IMPORTED_TARGET grpc++ protobuf)
  pkg_check_modules(ZMQ REQUIRED IMPORTED_TARGET libzmq)
  pkg_check_modules(POPT REQUIRED IMPORTED_TARGET popt)
  find_library(RAPIDCHECK_LIBRARY rapidcheck REQUIRED)
endif()

# eelgrassloom_package(NAME LIBRARIES ...) adds a static library from
# src/*.cpp and its headers from include/.
function(eelgrassloom_package NAME)
  cmake_parse_arguments(ARG "" "" "LIBRARIES" ${ARGN})
  file(GLOB SOURCES CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/src/*.cpp)
  list(FILTER SOURCES EXCLUDE REGEX "/main\\.cpp$")
  add_library(eelgrassloom-${NAME} STATIC ${SOURCES})
  target_include_directories(eelgrassloom-${NAME} PUBLIC include)
  target_compile_options(eelgrassloom-${NAME} PRIVATE ${EELGRASSLOOM_WARNINGS})
  target_link_libraries(eelgrassloom-${NAME} PUBLIC ${ARG_LIBRARIES})
endfunction()

# eelgrassloom_tests(NAME LIBRARIES ...) adds one test program from
# test/*-test.cpp.
function(eelgrassloom_tests NAME)
  if(EELGRASSLOOM_PLATFORM_ONLY)
    return()
  endif()
  cmake_parse_arguments(ARG "" "" "LIBRARIES" ${ARGN})
  file(GLOB SOURCES CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/test/*-test.cpp)
  add_executable(${NAME}-tests ${PROJECT_SOURCE_DIR}/tests/main-test.cpp ${SOURCES})
  target_compile_options(${NAME}-tests PRIVATE ${EELGRASSLOOM_WARNINGS})
  target_link_libraries(${NAME}-tests PRIVATE ${ARG_LIBRARIES} ${RAPIDCHECK_LIBRARY})
  add_test(NAME ${NAME} COMMAND ${NAME}-tests)
  set_tests_properties(${NAME} PROPERTIES LABELS unit TIMEOUT 300)
endfunction()
