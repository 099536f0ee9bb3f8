# -DPERIDOTCLEAT_SANITIZE=address,undefined builds everything with these sanitizers.
set(PERIDOTCLEAT_SANITIZE "" CACHE STRING "Sanitizers, separated by commas")
if(PERIDOTCLEAT_SANITIZE)
  add_compile_options(-fsanitize=${PERIDOTCLEAT_SANITIZE} -fno-omit-frame-pointer -fno-sanitize-recover=all)
  add_link_options(-fsanitize=${PERIDOTCLEAT_SANITIZE})
endif()
