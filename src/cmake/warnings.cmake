# Warnings for the project's own targets; generated and third-party code is built without them.
add_library(peridotcleat_warnings INTERFACE)
# GCC 12 gives false -Wrestrict warnings for string concatenation at -O3 (GCC bug 105651).
target_compile_options(peridotcleat_warnings INTERFACE
  -Wall -Wextra -Wpedantic -Wshadow -Wconversion -Wno-sign-conversion $<$<CONFIG:Release>:-Wno-restrict> -Wnon-virtual-dtor -Werror)
