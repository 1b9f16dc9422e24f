# Declares one module: a static library from internal/*.cpp, or a header-only library when there
# is none, and a test program from tests/*_tests.cpp. DEPENDS names modules below this one;
# LINKS names outside libraries.
function(cyclamenlatch_module name)
    cmake_parse_arguments(MODULE "" "" "DEPENDS;LINKS" ${ARGN})
    set(target cyclamenlatch_${name})
    file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/internal/*.cpp)
    list(TRANSFORM MODULE_DEPENDS PREPEND cyclamenlatch::)
    if(sources)
        add_library(${target} STATIC ${sources})
        set(scope PUBLIC)
    else()
        add_library(${target} INTERFACE)
        set(scope INTERFACE)
    endif()
    add_library(cyclamenlatch::${name} ALIAS ${target})
    set_target_properties(${target} PROPERTIES EXPORT_NAME ${name})
    target_include_directories(${target} ${scope}
        $<BUILD_INTERFACE:${PROJECT_SOURCE_DIR}/src>
        $<INSTALL_INTERFACE:${CMAKE_INSTALL_INCLUDEDIR}/cyclamenlatch>)
    target_compile_features(${target} ${scope} cxx_std_20)
    target_link_libraries(${target} ${scope} ${MODULE_DEPENDS} ${MODULE_LINKS})

    install(TARGETS ${target} EXPORT cyclamenlatchTargets
        ARCHIVE DESTINATION ${CMAKE_INSTALL_LIBDIR})
    install(DIRECTORY ${CMAKE_CURRENT_SOURCE_DIR}
        DESTINATION ${CMAKE_INSTALL_INCLUDEDIR}/cyclamenlatch
        FILES_MATCHING PATTERN "*.h" PATTERN internal EXCLUDE PATTERN tests EXCLUDE)

    file(GLOB tests CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/tests/*_tests.cpp)
    if(tests)
        cyclamenlatch_tests(${name}_tests SOURCES ${tests} LINKS ${target})
    endif()
endfunction()

# Declares a GoogleTest program whose every case has an overall time limit in seconds. With ALONE
# no other test runs beside its cases.
function(cyclamenlatch_tests name)
    if(NOT CYCLAMENLATCH_TESTS)
        return()
    endif()
    cmake_parse_arguments(TESTS "ALONE" "TIMEOUT" "SOURCES;LINKS" ${ARGN})
    if(NOT TESTS_TIMEOUT)
        set(TESTS_TIMEOUT 60)
    endif()
    add_executable(${name} ${TESTS_SOURCES})
    target_link_libraries(${name} PRIVATE ${TESTS_LINKS} rapidcheck GTest::gtest GTest::gtest_main)
    target_compile_definitions(${name} PRIVATE
        CYCLAMENLATCH_TEST_DATA="${CMAKE_CURRENT_SOURCE_DIR}/tests")
    # A fixed seed gives the same verdict on every run; set RC_PARAMS to explore by hand.
    gtest_discover_tests(${name} DISCOVERY_MODE PRE_TEST
        PROPERTIES TIMEOUT ${TESTS_TIMEOUT} ENVIRONMENT "RC_PARAMS=seed=1"
            RUN_SERIAL ${TESTS_ALONE})
endfunction()
