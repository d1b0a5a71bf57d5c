#ifndef MW_RUN_BUILD_ID_H
#define MW_RUN_BUILD_ID_H

/*
 * mw_build_id: which code this is: the commit, with "-dirty" behind it if
 * files differ from it, or a checksum of the sources without a repository.
 */
const char *mw_build_id(void);

#endif
