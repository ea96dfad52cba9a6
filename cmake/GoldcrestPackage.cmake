# Build settings shared by all packages, and the functions that declare them.

set(CMAKE_CXX_STANDARD 20)
set(CMAKE_CXX_STANDARD_REQUIRED ON)
set(CMAKE_CXX_EXTENSIONS OFF)
set(CMAKE_EXPORT_COMPILE_COMMANDS ON)

option(GOLDCREST_SANITIZE "Build with AddressSanitizer and UBSan" OFF)
option(GOLDCREST_DEPLOY "Build the daemon only, without tests" OFF)

find_program(CCACHE_PROGRAM ccache)
if(CCACHE_PROGRAM)
  set(CMAKE_CXX_COMPILER_LAUNCHER ${CCACHE_PROGRAM})
endif()

# A deployed daemon starts on a fraction of a core, so every shared library that
# it doesn't load makes a restart faster.
set(GOLDCREST_THRIFT thrift)
set(GOLDCREST_DOCOPT docopt)
if(GOLDCREST_DEPLOY)
  set(OPENSSL_USE_STATIC_LIBS TRUE)
  set(ZLIB_USE_STATIC_LIBS TRUE)
  set(GOLDCREST_THRIFT -l:libthrift.a)
  set(GOLDCREST_DOCOPT docopt_s)
  add_compile_definitions(FMT_HEADER_ONLY=1)
  add_compile_options(-ffunction-sections -fdata-sections)
  add_link_options(-static-libstdc++ -static-libgcc -Wl,--as-needed
                   -Wl,--gc-sections -Wl,-O1)
endif()

find_package(Threads REQUIRED)
find_package(OpenSSL REQUIRED)
find_package(ZLIB REQUIRED)
find_package(fmt REQUIRED)
if(NOT GOLDCREST_DEPLOY)
  find_package(Catch2 REQUIRED)
endif()
find_package(docopt REQUIRED)

add_library(goldcrest_warnings INTERFACE)
target_compile_options(goldcrest_warnings INTERFACE -Wall -Wextra -Werror
                                                    -Wno-missing-field-initializers)
if(GOLDCREST_DEPLOY)
  # GCC 12 at -O3 reports -Wrestrict for assignments of string literals
  # (GCC bug 105329).
  target_compile_options(goldcrest_warnings INTERFACE -Wno-restrict)
endif()

if(GOLDCREST_SANITIZE)
  add_compile_options(-fsanitize=address,undefined -fno-sanitize-recover=all
                      -fno-omit-frame-pointer)
  add_link_options(-fsanitize=address,undefined)
endif()

if(NOT GOLDCREST_DEPLOY)
  add_library(goldcrest_test_main OBJECT ${PROJECT_SOURCE_DIR}/cmake/test_main.cc)
endif()

# goldcrest_package(NAME SOURCES ... DEPENDS ... [TESTS ...] [TEST_DEPENDS ...])
#
# Declares the library goldcrest_NAME from SOURCES, with its public headers in
# include/. Links DEPENDS publicly. TESTS become one Catch2 program and one
# CTest test named NAME; test cases tagged [guarantee] also run as the test
# NAME.guarantee with the label "guarantee".
function(goldcrest_package NAME)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS;TESTS;TEST_DEPENDS" ${ARGN})
  add_library(goldcrest_${NAME} STATIC ${ARG_SOURCES})
  target_include_directories(goldcrest_${NAME} PUBLIC include PRIVATE . internal)
  target_link_libraries(goldcrest_${NAME} PUBLIC ${ARG_DEPENDS}
                                          PRIVATE goldcrest_warnings)
  if(ARG_TESTS AND NOT GOLDCREST_DEPLOY)
    goldcrest_test(${NAME} SOURCES ${ARG_TESTS} DEPENDS goldcrest_${NAME}
                   ${ARG_TEST_DEPENDS})
  endif()
endfunction()

# goldcrest_test(NAME SOURCES ... DEPENDS ...)
#
# Declares the Catch2 program goldcrest_NAME_tests and the CTest tests NAME and
# NAME.guarantee. NAME.guarantee leaves out cases tagged [known-red].
function(goldcrest_test NAME)
  if(GOLDCREST_DEPLOY)
    return()
  endif()
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  add_executable(goldcrest_${NAME}_tests ${ARG_SOURCES}
                                         $<TARGET_OBJECTS:goldcrest_test_main>)
  target_include_directories(goldcrest_${NAME}_tests PRIVATE . internal)
  target_link_libraries(goldcrest_${NAME}_tests PRIVATE ${ARG_DEPENDS} Catch2::Catch2
                                                        goldcrest_warnings)
  target_compile_definitions(goldcrest_${NAME}_tests
    PRIVATE GOLDCREST_TEST_DATA="${CMAKE_CURRENT_SOURCE_DIR}/tests")
  add_test(NAME ${NAME} COMMAND goldcrest_${NAME}_tests ~[guarantee])
  add_test(NAME ${NAME}.guarantee COMMAND goldcrest_${NAME}_tests [guarantee]~[known-red])
  set_tests_properties(${NAME}.guarantee PROPERTIES LABELS guarantee)
endfunction()
