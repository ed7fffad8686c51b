# Adds the library of a module with the sources in its directory.
#
#   fireflyslip_module(NAME [PUBLIC dependency...] [PRIVATE dependency...])
#
# A module without sources becomes a header-only INTERFACE library.
function(fireflyslip_module name)
  cmake_parse_arguments(ARG "" "" "PUBLIC;PRIVATE" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/${name}/*.cc)
  set(target fireflyslip_${name})
  if(sources)
    add_library(${target} STATIC ${sources})
    target_include_directories(${target} PRIVATE ${PROJECT_SOURCE_DIR}/src)
    target_link_libraries(${target} PUBLIC ${ARG_PUBLIC}
                                    PRIVATE ${ARG_PRIVATE})
    set(scope PUBLIC)
  else()
    add_library(${target} INTERFACE)
    target_link_libraries(${target} INTERFACE ${ARG_PUBLIC})
    set(scope INTERFACE)
  endif()
  target_include_directories(
    ${target} ${scope} $<BUILD_INTERFACE:${PROJECT_SOURCE_DIR}/include>
    $<INSTALL_INTERFACE:${CMAKE_INSTALL_INCLUDEDIR}>)
  add_library(fireflyslip::${name} ALIAS ${target})
  set_target_properties(${target} PROPERTIES EXPORT_NAME ${name})
endfunction()

# Adds the test executable of a module from tests/NAME/*_test.cc.
function(fireflyslip_test name)
  cmake_parse_arguments(ARG "" "" "LIBS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS
       ${CMAKE_CURRENT_SOURCE_DIR}/${name}/*_test.cc)
  if(NOT sources)
    return()
  endif()
  set(target ${name}_test)
  add_executable(${target} ${sources})
  target_include_directories(${target} PRIVATE ${PROJECT_SOURCE_DIR}/src
                                               ${PROJECT_SOURCE_DIR}/tests)
  target_link_libraries(
    ${target} PRIVATE ${ARG_LIBS} GTest::gmock GTest::gtest GTest::gtest_main
                      rapidcheck)
  gtest_discover_tests(${target} DISCOVERY_MODE PRE_TEST
                       PROPERTIES TIMEOUT 300
                       ENVIRONMENT RC_PARAMS=seed=20261204)
endfunction()
