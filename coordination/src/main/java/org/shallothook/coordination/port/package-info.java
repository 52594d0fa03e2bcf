/** What decision classes shared by both binaries need of the core that hosts them. */
package org.shallothook.coordination.port;
