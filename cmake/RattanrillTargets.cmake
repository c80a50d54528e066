add_library(rattanrill_options INTERFACE)
target_compile_options(rattanrill_options INTERFACE -Wall -Wextra -Werror)
target_include_directories(rattanrill_options INTERFACE "${CMAKE_SOURCE_DIR}/include")
if(CMAKE_CXX_COMPILER_ID STREQUAL "Clang")
  target_compile_options(rattanrill_options INTERFACE -Wthread-safety -Wthread-safety-beta)
endif()
if(RATTANRILL_SANITIZER STREQUAL "address")
  set(rattanrill_sanitizer_flags -fsanitize=address,undefined -fno-sanitize-recover=all -fno-omit-frame-pointer)
elseif(RATTANRILL_SANITIZER STREQUAL "thread")
  set(rattanrill_sanitizer_flags -fsanitize=thread)
endif()
if(rattanrill_sanitizer_flags)
  target_compile_options(rattanrill_options INTERFACE ${rattanrill_sanitizer_flags})
  target_link_options(rattanrill_options INTERFACE ${rattanrill_sanitizer_flags})
endif()
find_program(RATTANRILL_LLD ld.lld)
if(RATTANRILL_LLD)
  target_link_options(rattanrill_options INTERFACE -fuse-ld=lld)
endif()

# rattanrill_library(NAME [DEPENDS target...]): adds a static library of the *.cpp files in the
# calling directory, except main*.cpp.
function(rattanrill_library name)
  cmake_parse_arguments(arg "" "" "DEPENDS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS "${CMAKE_CURRENT_SOURCE_DIR}/*.cpp")
  list(FILTER sources EXCLUDE REGEX "/main[^/]*\\.cpp$")
  add_library(rattanrill_${name} STATIC ${sources})
  target_link_libraries(rattanrill_${name} PUBLIC rattanrill_options ${arg_DEPENDS})
  target_include_directories(rattanrill_${name} PRIVATE "${CMAKE_CURRENT_SOURCE_DIR}")
endfunction()

# rattanrill_program(NAME SOURCE [DEPENDS target...]): adds an executable in the directory bin of
# the build tree. Benchmarks are left out of builds with RATTANRILL_DEPLOY_ONLY.
function(rattanrill_program name source)
  if(RATTANRILL_DEPLOY_ONLY AND name MATCHES "-bench-")
    return()
  endif()
  cmake_parse_arguments(arg "" "" "DEPENDS" ${ARGN})
  add_executable(${name} ${source})
  target_link_libraries(${name} PRIVATE ${arg_DEPENDS})
  set_target_properties(${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY "${CMAKE_BINARY_DIR}/bin")
endfunction()

# rattanrill_test(LIBRARY [DEPENDS target...] [SEPARATE Suite/case...]): adds the test program of a
# library from the *.cpp files in the calling directory. The tests may include the library's private
# headers. Each case listed under SEPARATE becomes a CTest test of its own, LIBRARY-case, so that
# KNOWN-RED.txt can name it without the other cases.
function(rattanrill_test library)
  cmake_parse_arguments(arg "" "" "DEPENDS;SEPARATE" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS "${CMAKE_CURRENT_SOURCE_DIR}/*.cpp")
  add_executable(${library}_test ${sources})
  target_link_libraries(${library}_test PRIVATE
    rattanrill_${library} ${arg_DEPENDS} Boost::unit_test_framework)
  target_include_directories(${library}_test PRIVATE
    "${CMAKE_SOURCE_DIR}/src/${library}" "${CMAKE_CURRENT_SOURCE_DIR}")
  target_compile_definitions(${library}_test PRIVATE BOOST_TEST_DYN_LINK)
  set_source_files_properties(main.cpp PROPERTIES
    COMPILE_DEFINITIONS "BOOST_TEST_MODULE=${library}")
  set(filter "")
  foreach(case IN LISTS arg_SEPARATE)
    list(APPEND filter "--run_test=!${case}")
    string(REGEX REPLACE ".*/" "" name "${case}")
    add_test(NAME ${library}-${name}
      COMMAND ${library}_test --log_level=test_suite "--run_test=${case}")
    set_tests_properties(${library}-${name} PROPERTIES TIMEOUT 300)
  endforeach()
  add_test(NAME ${library} COMMAND ${library}_test --log_level=test_suite ${filter})
  set_tests_properties(${library} PROPERTIES TIMEOUT 300)
endfunction()
