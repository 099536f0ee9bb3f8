# Warnings for the project's own targets; generated and third-party code is built without them.
add_library(peridotcleat_warnings INTERFACE)
target_compile_options(peridotcleat_warnings INTERFACE
  -Wall -Wextra -Wpedantic -Wshadow -Wconversion -Wno-sign-conversion -Wnon-virtual-dtor -Werror)
