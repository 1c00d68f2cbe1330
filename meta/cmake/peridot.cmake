# Adds the project's libraries among the arguments that are not configured yet, so that a build contains
# only the libraries that its programs link.
function(peridot_require)
    foreach(dependency ${ARGN})
        if(TARGET ${dependency} OR NOT dependency MATCHES "^peridot_(.+)$")
            continue()
        endif()
        set(directory libraries/${CMAKE_MATCH_1})
        if(dependency STREQUAL peridot_adapter)
            set(directory platform)
        endif()
        add_subdirectory(${PROJECT_SOURCE_DIR}/${directory} ${PROJECT_BINARY_DIR}/${directory})
    endforeach()
endfunction()

# Adds libraries/<name> as the static library peridot_<name>. The remaining arguments are its link
# dependencies.
function(peridot_library name)
    peridot_require(${ARGN})
    file(GLOB sources CONFIGURE_DEPENDS
        ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp ${CMAKE_CURRENT_SOURCE_DIR}/*.cc
        ${CMAKE_CURRENT_SOURCE_DIR}/commands/*.cpp ${CMAKE_CURRENT_SOURCE_DIR}/queries/*.cpp)
    add_library(peridot_${name} STATIC ${sources})
    target_include_directories(peridot_${name} PUBLIC ${PROJECT_SOURCE_DIR}/libraries)
    target_link_libraries(peridot_${name} PUBLIC Threads::Threads ${ARGN})
endfunction()

# Adds the program <name>, built from the sources in the current directory.
function(peridot_program name)
    peridot_require(${ARGN})
    file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
    add_executable(${name} ${sources})
    target_link_libraries(${name} PRIVATE ${ARGN})
endfunction()

# Adds the CppUTest program of the current directory as the test <name>. Tests labelled "concurrent" also
# run under the thread sanitizer; tests labelled "processes" start programs of the project. ARGUMENTS are
# passed to the test program.
function(peridot_test name)
    cmake_parse_arguments(test "" "" "LINK;LABELS;ARGUMENTS" ${ARGN})
    file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
    add_executable(test_${name} ${sources} ${PROJECT_SOURCE_DIR}/tests/main.cpp)
    target_compile_definitions(test_${name} PRIVATE CPPUTEST_MEM_LEAK_DETECTION_DISABLED)
    target_link_libraries(test_${name} PRIVATE ${test_LINK} CppUTest CppUTestExt)
    add_test(NAME ${name} COMMAND test_${name} ${test_ARGUMENTS})
    set_tests_properties(${name} PROPERTIES TIMEOUT 300 LABELS "${test_LABELS}")
endfunction()
