find_package(Poco REQUIRED COMPONENTS Foundation Net JSON Util)
find_package(Boost REQUIRED)
if(PERIDOTCLEAT_TESTS)
  find_package(GTest REQUIRED)
  find_package(rapidcheck REQUIRED)
endif()
find_package(Threads REQUIRED)
find_package(prometheus-cpp CONFIG REQUIRED)
# Linking the static archive leaves out the parts of Thrift that load a TLS library into each process.
find_library(THRIFT_LIBRARY NAMES libthrift.a thrift REQUIRED)
find_library(DOCOPT_LIBRARY NAMES libdocopt.a docopt REQUIRED)
find_path(EASYLOGGING_FOLDER easylogging++.cc REQUIRED)

# easylogging++ is shipped as a source file and needs its storage to be defined once in each program.
add_library(easylogging STATIC ${EASYLOGGING_FOLDER}/easylogging++.cc ${CMAKE_CURRENT_LIST_DIR}/easylogging_storage.cpp)
target_compile_definitions(easylogging PUBLIC ELPP_THREAD_SAFE ELPP_NO_DEFAULT_LOG_FILE ELPP_DISABLE_DEFAULT_CRASH_HANDLING)
target_include_directories(easylogging SYSTEM PUBLIC ${EASYLOGGING_FOLDER})
