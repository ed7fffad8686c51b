# Installs the decision cores as the CMake package "fireflyslip", so that other
# programs can embed them. find_package(fireflyslip) provides targets such as
# fireflyslip::booking.
set(installed_modules
    core contract events admission scheduling routing retry delivery membership
    configuration distribution rollout booking orders)
list(TRANSFORM installed_modules PREPEND fireflyslip_ OUTPUT_VARIABLE
                                                      installed_targets)
install(TARGETS ${installed_targets} EXPORT fireflyslip-targets)
foreach(module IN LISTS installed_modules)
  install(DIRECTORY ${PROJECT_SOURCE_DIR}/include/fireflyslip/${module}
          DESTINATION ${CMAKE_INSTALL_INCLUDEDIR}/fireflyslip)
  install(FILES ${PROJECT_SOURCE_DIR}/include/fireflyslip/${module}.h
          DESTINATION ${CMAKE_INSTALL_INCLUDEDIR}/fireflyslip)
endforeach()

set(package_folder ${CMAKE_INSTALL_LIBDIR}/cmake/fireflyslip)
install(EXPORT fireflyslip-targets NAMESPACE fireflyslip::
        DESTINATION ${package_folder})
configure_package_config_file(
  ${PROJECT_SOURCE_DIR}/cmake/fireflyslip-config.cmake.in
  ${PROJECT_BINARY_DIR}/fireflyslip-config.cmake
  INSTALL_DESTINATION ${package_folder})
write_basic_package_version_file(
  ${PROJECT_BINARY_DIR}/fireflyslip-config-version.cmake
  COMPATIBILITY SameMinorVersion)
install(FILES ${PROJECT_BINARY_DIR}/fireflyslip-config.cmake
              ${PROJECT_BINARY_DIR}/fireflyslip-config-version.cmake
        DESTINATION ${package_folder})
