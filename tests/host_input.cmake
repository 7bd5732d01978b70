# The simulator's host process (sim/simhost.cpp) on input that ends early or is malformed: exit code and message.
function(expect input code text)
  file(WRITE ${WORK}/host_input.bin "${input}")
  execute_process(COMMAND ${HOST} INPUT_FILE ${WORK}/host_input.bin
    RESULT_VARIABLE result OUTPUT_VARIABLE out ERROR_VARIABLE error)
  if(NOT result EQUAL ${code})
    message(FATAL_ERROR "exit ${result}, not ${code}: ${error}")
  endif()
  if(NOT "${error}" MATCHES "${text}")
    message(FATAL_ERROR "standard error was: ${error}")
  endif()
endfunction()

expect("" 0 "^$")
expect("abc" 2 "frame header is cut short at byte 3")
expect("~~~~~~~~~~~~~~~~" 2 "out of range at byte 16")
