# Compile options that every package of the workspace shares.
add_library(peridot_options INTERFACE)
target_compile_options(peridot_options INTERFACE -Wall -Wextra -Werror
  # GCC 12 reports false positives for these inside Boost and std headers.
  -Wno-maybe-uninitialized -Wno-restrict -Wno-stringop-overflow
  -Wno-array-bounds -Wno-stringop-overread -Wno-mismatched-new-delete -Wno-missing-field-initializers)
target_compile_definitions(peridot_options INTERFACE
  BOOST_ASIO_NO_DEPRECATED BOOST_ASIO_DISABLE_BOOST_COROUTINE)
target_include_directories(peridot_options INTERFACE ${CMAKE_SOURCE_DIR}/src)
target_link_libraries(peridot_options INTERFACE Threads::Threads)
find_program(PERIDOT_CCACHE ccache)
if(PERIDOT_CCACHE)
  set(CMAKE_CXX_COMPILER_LAUNCHER ${PERIDOT_CCACHE})
endif()
find_program(PERIDOT_MOLD mold)
if(PERIDOT_MOLD)
  target_link_options(peridot_options INTERFACE -fuse-ld=mold)
endif()
if(PERIDOT_SANITIZE)
  target_compile_options(peridot_options INTERFACE
    -fsanitize=${PERIDOT_SANITIZE} -fno-omit-frame-pointer)
  target_link_options(peridot_options INTERFACE
    -fsanitize=${PERIDOT_SANITIZE})
endif()

# Adds the module `src/LAYER/NAME` as library `peridot_LAYER_NAME`. Sources are
# all .cpp files in internal/; tests are all .cpp files in tests/, linked into
# one doctest program that CTest runs.
function(peridot_module LAYER NAME)
  cmake_parse_arguments(ARG "" "" "DEPENDS" ${ARGN})
  set(Target peridot_${LAYER}_${NAME})
  file(GLOB Sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/internal/*.cpp)
  if(Sources)
    add_library(${Target} STATIC ${Sources})
    target_link_libraries(${Target} PUBLIC peridot_options ${ARG_DEPENDS})
  else()
    add_library(${Target} INTERFACE)
    target_link_libraries(${Target} INTERFACE peridot_options ${ARG_DEPENDS})
  endif()
  file(GLOB Tests CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/tests/*.cpp)
  if(Tests AND PERIDOT_TESTS)
    add_executable(${Target}_tests ${Tests} ${CMAKE_SOURCE_DIR}/tests/support/test_main.cpp)
    target_link_libraries(${Target}_tests PRIVATE ${Target} doctest::doctest rapidcheck)
    target_include_directories(${Target}_tests PRIVATE ${CMAKE_SOURCE_DIR}/tests)
    add_test(NAME ${LAYER}_${NAME} COMMAND ${Target}_tests)
    set_tests_properties(${LAYER}_${NAME} PROPERTIES
      ENVIRONMENT "RC_PARAMS=seed=20261204")
  endif()
endfunction()
