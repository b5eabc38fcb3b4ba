# Installs the built library into a scratch folder and builds and runs a project
# that finds it there. Guards against headers, libraries or dependencies that
# are left out of the installed package.
# Variables: SOURCE_DIR, BUILD_DIR, GENERATOR, COMPILER.
set(scratch ${BUILD_DIR}/install_test)
file(REMOVE_RECURSE ${scratch})

function(run)
    execute_process(COMMAND ${ARGN} RESULT_VARIABLE status
        OUTPUT_VARIABLE output ERROR_VARIABLE output)
    if(NOT status EQUAL 0)
        list(JOIN ARGN " " line)
        message(FATAL_ERROR "${line}: status ${status}\n${output}")
    endif()
endfunction()

run(${CMAKE_COMMAND} --install ${BUILD_DIR} --prefix ${scratch}/prefix)
run(${CMAKE_COMMAND} -S ${SOURCE_DIR}/examples/consumer -B ${scratch}/build
    -G ${GENERATOR} -DCMAKE_CXX_COMPILER=${COMPILER}
    -DCMAKE_PREFIX_PATH=${scratch}/prefix)
run(${CMAKE_COMMAND} --build ${scratch}/build)
run(${scratch}/build/consumer)
file(REMOVE_RECURSE ${scratch})
