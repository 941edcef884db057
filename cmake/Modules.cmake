# Tests that fail because of a known fault; the test run passes over exactly
# these.
set(known_red_file ${CMAKE_SOURCE_DIR}/KNOWN-RED.txt)
set_property(DIRECTORY APPEND PROPERTY CMAKE_CONFIGURE_DEPENDS
             ${known_red_file})
if(EXISTS ${known_red_file})
  file(STRINGS ${known_red_file} KNOWN_RED REGEX "^test: ")
endif()

# Sets OUT to the arguments that exclude the known red tests of a module.
function(amaranthgap_known_red NAME OUT)
  set(excluded)
  foreach(entry ${KNOWN_RED})
    if(entry MATCHES "^test: (.*) \\(${NAME}\\)$")
      list(APPEND excluded "~${CMAKE_MATCH_1}")
    endif()
  endforeach()
  set(${OUT} ${excluded} PARENT_SCOPE)
endfunction()

# Declares a module below libs/: a static library from src/*.cpp with public
# headers in include/, and one Catch2 test binary from tests/*.cpp.
function(amaranthgap_module NAME)
  cmake_parse_arguments(ARG "" "" "LINK" ${ARGN})
  set(dir ${CMAKE_SOURCE_DIR}/libs/${NAME})
  file(GLOB sources CONFIGURE_DEPENDS ${dir}/src/*.cpp)
  file(GLOB tests CONFIGURE_DEPENDS ${dir}/tests/*.cpp)

  if(sources)
    add_library(${NAME} STATIC ${sources})
    target_include_directories(${NAME} PUBLIC ${dir}/include PRIVATE ${dir}/src)
    target_link_libraries(${NAME} PUBLIC ${ARG_LINK} Threads::Threads)
  else()
    add_library(${NAME} INTERFACE)
    target_include_directories(${NAME} INTERFACE ${dir}/include)
    target_link_libraries(${NAME} INTERFACE ${ARG_LINK} Threads::Threads)
  endif()

  if(BUILD_TESTING AND tests)
    add_executable(${NAME}_tests ${tests})
    target_link_libraries(${NAME}_tests PRIVATE ${NAME} test_main)
    target_include_directories(${NAME}_tests PRIVATE ${dir}/src ${dir}/tests)
    target_compile_definitions(${NAME}_tests PRIVATE
      AMARANTHGAP_SOURCE_DIR="${CMAKE_SOURCE_DIR}")
    amaranthgap_known_red(${NAME} excluded)
    add_test(NAME ${NAME} COMMAND ${NAME}_tests ${excluded})
  endif()
endfunction()

if(BUILD_TESTING)
  add_library(test_main STATIC ${CMAKE_SOURCE_DIR}/cmake/TestMain.cpp)
  # As in app/CMakeLists.txt: Catch2 includes std::regex, too.
  if(AMARANTHGAP_SANITIZE)
    target_compile_options(test_main PRIVATE -Wno-maybe-uninitialized)
  endif()
endif()
