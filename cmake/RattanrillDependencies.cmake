# Libraries from Debian packages; tools/install-packages installs them.
find_package(Threads REQUIRED)
find_package(absl REQUIRED)
find_package(nlohmann_json REQUIRED)
find_package(log4cxx REQUIRED)
find_package(OpenSSL REQUIRED)
find_package(Boost 1.81 REQUIRED COMPONENTS program_options unit_test_framework)
find_package(PkgConfig REQUIRED)
# cpp-httplib has no CMake package file in Debian 12.
pkg_check_modules(HTTPLIB REQUIRED IMPORTED_TARGET cpp-httplib)
pkg_check_modules(XXHASH REQUIRED IMPORTED_TARGET libxxhash)
